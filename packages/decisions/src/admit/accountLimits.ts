/** Rate and burst limits of accounts, by rank, in token units. */
import { millisecondsPerSecond, type Milliseconds } from '@lycheetally/common';

/** A limit on what an account may ask for in a rank. */
export interface AccountLimit {
  readonly rank: string;
  /** Token units a second that are earned. */
  readonly costPerSecond: number;
  /** The most token units that can be saved up. */
  readonly burstCost: number;
}

interface Bucket {
  saved: number;
  updatedAt: Milliseconds;
}

/** Token buckets by account and rank. */
export class AccountBuckets {
  private readonly buckets = new Map<string, Bucket>();

  /** Takes the cost, or returns the milliseconds until it can be taken. */
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
