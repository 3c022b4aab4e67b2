/**
 * What callers lose if a waiting call gives way, for each place that it would take.
 *
 *     loss = rank x (on time ? 1 : lateValue) x account x (1 + returns) x (1 + spent / expected) / work
 *
 * A rank counts for a half of the next more urgent one. `work` is the expected work against the
 * usual one, bounded in both directions. Floors: a large call counts as one of usual work while
 * large calls are served too seldom, and an account counts for up to twice as much the less
 * often its calls were served. A call that was refused before counts for more with each return,
 * as refusing it again costs its caller most. A stream under way never gives way.
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  accountFloorFactor,
  fullyServedShare,
  largeFactor,
  largeFloor,
  lateValue,
  maxTrackedAccounts,
  maxWorkFactor,
  rankMargin,
} from './constants.js';
import { ServedShare } from './servedShare.js';
import type { WaitingCall } from './waitingCall.js';

/** Value of a rank against the next more urgent one. */
const rankValue = 1 / 2;

/** Returns of a call that raise its value; callers return once or twice. */
const maxCountedReturns = 2;

/** Weight of a new call in the usual work of its kind. */
const workSmoothing = 0.05;

interface KindState {
  usualWork: number;
  readonly all: ServedShare;
  readonly large: ServedShare;
}

export class WaitCost {
  private readonly kinds = new Map<string, KindState>();
  private readonly accounts = new Map<string, ServedShare>();
  private readonly ranks: ServedShare[] = [];

  noteOffered(call: WaitingCall, now: Milliseconds): void {
    const kind = this.getKind(call);
    kind.usualWork += (call.expectedTokens - kind.usualWork) * workSmoothing;
    kind.all.noteOffered(now);
    if (this.isLarge(call)) {
      kind.large.noteOffered(now);
    }
    this.getAccount(call.account).noteOffered(now);
    this.getRank(call.urgency).noteOffered(now);
  }

  noteServed(call: WaitingCall, now: Milliseconds): void {
    const kind = this.getKind(call);
    kind.all.noteServed(now);
    if (this.isLarge(call)) {
      kind.large.noteServed(now);
    }
    this.getAccount(call.account).noteServed(now);
    this.getRank(call.urgency).noteServed(now);
  }

  /** Whether calls of a more urgent rank were served less often than those of this one. */
  isAheadOfItsRank(urgency: number, now: Milliseconds): boolean {
    const own = this.getRank(urgency).compute(now);
    return this.ranks.slice(0, urgency).some(each => {
      const share = each.compute(now);
      return share < fullyServedShare && share < own * rankMargin;
    });
  }

  compute(call: WaitingCall, isOnTime: boolean, now: Milliseconds): number {
    if (call.isUnderWay) {
      return Infinity;
    }
    const { usualWork, all, large } = this.getKind(call);
    const isBelowFloor =
      this.isLarge(call) && large.compute(now) < largeFloor * all.compute(now);
    const work = call.expectedTokens / Math.max(1, usualWork);
    const bounded = Math.min(maxWorkFactor, Math.max(1 / maxWorkFactor, work));
    const served = this.getAccount(call.account).compute(now);
    const account = 1 + (accountFloorFactor - 1) * (1 - served);
    const spent = call.spentTokens / Math.max(1, call.expectedTokens);
    return (
      (rankValue ** call.urgency *
        (isOnTime ? 1 : lateValue) *
        account *
        (1 + Math.min(call.refusals, maxCountedReturns)) *
        (1 + spent)) /
      (isBelowFloor ? Math.min(1, bounded) : bounded)
    );
  }

  private isLarge(call: WaitingCall): boolean {
    return call.expectedTokens > this.getKind(call).usualWork * largeFactor;
  }

  private getKind({ kind, expectedTokens }: WaitingCall): KindState {
    const known = this.kinds.get(kind) ?? {
      usualWork: expectedTokens,
      all: new ServedShare(),
      large: new ServedShare(),
    };
    this.kinds.set(kind, known);
    return known;
  }

  private getRank(urgency: number): ServedShare {
    while (this.ranks.length <= urgency) {
      this.ranks.push(new ServedShare());
    }
    return this.ranks[urgency] ?? new ServedShare();
  }

  private getAccount(account: string): ServedShare {
    const known = this.accounts.get(account) ?? new ServedShare();
    this.accounts.delete(account);
    this.accounts.set(account, known);
    const [oldest] = this.accounts.keys();
    if (this.accounts.size > maxTrackedAccounts && oldest !== undefined) {
      this.accounts.delete(oldest);
    }
    return known;
  }
}
