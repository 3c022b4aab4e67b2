/** The share of the calls of a class that got a place, over the recent past. */
import type { Milliseconds } from '@lycheetally/common';
import { DecayingSum } from '../load/decayingSum.js';
import { servedHalfLifeMs } from './constants.js';

export class ServedShare {
  private readonly offered = new DecayingSum(servedHalfLifeMs);
  private readonly served = new DecayingSum(servedHalfLifeMs);

  noteOffered(now: Milliseconds): void {
    this.offered.add(1, now);
  }

  noteServed(now: Milliseconds): void {
    this.served.add(1, now);
  }

  /** Returns 1 if nothing was offered. */
  compute(now: Milliseconds): number {
    const offered = this.offered.get(now);
    return offered < 1 ? 1 : Math.min(1, this.served.get(now) / offered);
  }
}
