/**
 * What accounts ask for, so that places are kept for those that ask for little.
 *
 * A large account has a call for each place that comes, while the calls of small ones come now
 * and then and find all places taken. So as many places as the small accounts are going to need
 * by their rate of calls, and do not have yet, are kept from large accounts.
 */
import type { Milliseconds } from '@lycheetally/common';
import { DecayingSum } from '../load/decayingSum.js';
import {
  accountHalfLifeMs,
  largeAccountFactor,
  maxAccountReserve,
  maxTrackedAccounts,
} from './constants.js';

interface AccountState {
  readonly arrivals: DecayingSum;
  running: number;
}

/** Arrivals below which an account is no longer active. */
const minArrivals = 0.5;

/** Computes above how many recent arrivals an account is large. */
const computeLarge = (
  active: readonly AccountState[],
  now: Milliseconds,
): number =>
  (largeAccountFactor *
    active.reduce((sum, { arrivals }) => sum + arrivals.get(now), 0)) /
  active.length;

export class AccountDemand {
  private readonly accounts = new Map<string, AccountState>();

  noteArrived(account: string, now: Milliseconds): void {
    const known = this.accounts.get(account) ?? {
      arrivals: new DecayingSum(accountHalfLifeMs),
      running: 0,
    };
    known.arrivals.add(1, now);
    // The account that was silent longest is first.
    this.accounts.delete(account);
    this.accounts.set(account, known);
    const [oldest] = this.accounts.keys();
    if (this.accounts.size > maxTrackedAccounts && oldest !== undefined) {
      this.accounts.delete(oldest);
    }
  }

  /** Notes that a call started (1) or ended (-1). */
  countRunning(account: string, change: 1 | -1): void {
    const known = this.accounts.get(account);
    if (known) {
      known.running = Math.max(0, known.running + change);
    }
  }

  /** Computes the share of the places that large accounts leave to the others. */
  computeReserve(
    limit: number,
    durationMs: Milliseconds,
    now: Milliseconds,
  ): number {
    const active = this.listActive(now);
    const large = computeLarge(active, now);
    const small = active.filter(({ arrivals }) => arrivals.get(now) <= large);
    if (small.length === active.length) {
      return 0;
    }
    const needed = small.reduce(
      (sum, { arrivals }) => sum + arrivals.computeRate(now) * durationMs,
      0,
    );
    const running = small.reduce((sum, each) => sum + each.running, 0);
    const kept = Math.min(needed, limit * maxAccountReserve) - running;
    return Math.max(0, kept) / limit;
  }

  isLarge(account: string, now: Milliseconds): boolean {
    const arrivals = this.accounts.get(account)?.arrivals.get(now) ?? 0;
    return arrivals > computeLarge(this.listActive(now), now);
  }

  private listActive(now: Milliseconds): readonly AccountState[] {
    return [...this.accounts.values()].filter(
      ({ arrivals }) => arrivals.get(now) >= minArrivals,
    );
  }
}
