/** Rate and burst limits by account and rank, in token units. */
import { millisecondsPerSecond, type Milliseconds } from '@lycheetally/common';

/** Rate limit of an account for requests of one rank. */
export interface AccountLimit {
  readonly rank: string;
  /** Refill rate in token units per second. */
  readonly costPerSecond: number;
  /** Bucket capacity in token units. */
  readonly burstCost: number;
}

interface Bucket {
  saved: number;
  updatedAt: Milliseconds;
}

/** Token buckets, one for each account and rank. */
export class AccountBuckets {
  private readonly buckets = new Map<string, Bucket>();

  /** Returns 0 when the cost was taken, otherwise the milliseconds until it can be. */
  takeCost(
    account: string,
    limit: AccountLimit,
    cost: number,
    now: Milliseconds,
  ): Milliseconds {
    const bucket = this.getBucket(`${account}\n${limit.rank}`, limit, now);
    if (cost <= bucket.saved) {
      bucket.saved -= cost;
      return 0;
    }
    const missing = cost - bucket.saved;
    return (missing / limit.costPerSecond) * millisecondsPerSecond;
  }

  private getBucket(
    key: string,
    limit: AccountLimit,
    now: Milliseconds,
  ): Bucket {
    const known = this.buckets.get(key);
    if (!known) {
      const created = { saved: limit.burstCost, updatedAt: now };
      this.buckets.set(key, created);
      return created;
    }
    const seconds = Math.max(0, now - known.updatedAt) / millisecondsPerSecond;
    const earned = seconds * limit.costPerSecond;
    known.saved = Math.min(limit.burstCost, known.saved + earned);
    known.updatedAt = now;
    return known;
  }
}
