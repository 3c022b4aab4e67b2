/**
 * What ranks ask for, so that places are kept for the more urgent ones.
 *
 * At a gateway that runs few calls the queue is often empty when a place comes, and the next call
 * to arrive would take it whatever its rank. So as many places as the more urgent ranks are going
 * to need by their rate of calls, and do not have yet, are kept from a rank.
 */
import type { Milliseconds } from '@lycheetally/common';
import { DecayingSum } from '../load/decayingSum.js';
import { maxRankReserve, rateHalfLifeMs } from './constants.js';

interface RankState {
  readonly arrivals: DecayingSum;
  running: number;
}

export class RankDemand {
  private readonly ranks: RankState[] = [];

  noteArrived(urgency: number, now: Milliseconds): void {
    this.getRank(urgency).arrivals.add(1, now);
  }

  /** Notes that a call started (1) or ended (-1). */
  countRunning(urgency: number, change: 1 | -1): void {
    this.getRank(urgency).running += change;
  }

  /** Computes the share of the places that the rank leaves to more urgent ones. */
  computeReserve(
    urgency: number,
    limit: number,
    durationMs: Milliseconds,
    now: Milliseconds,
  ): number {
    const urgent = this.ranks.slice(0, urgency);
    const needed = urgent.reduce(
      (sum, { arrivals }) => sum + arrivals.computeRate(now) * durationMs,
      0,
    );
    const running = urgent.reduce((sum, each) => sum + each.running, 0);
    const kept = Math.min(needed, limit * maxRankReserve) - running;
    return Math.max(0, kept) / limit;
  }

  private getRank(urgency: number): RankState {
    while (this.ranks.length <= urgency) {
      this.ranks.push(createRank());
    }
    return this.ranks[urgency] ?? createRank();
  }
}

const createRank = (): RankState => ({
  arrivals: new DecayingSum(rateHalfLifeMs),
  running: 0,
});
