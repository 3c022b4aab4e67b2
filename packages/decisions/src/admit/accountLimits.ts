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

interface TokenBucket {
  available: number;
  updatedAt: Milliseconds;
}

/** Token buckets, one for each account and rank. */
export class AccountTokenBuckets {
  private readonly buckets = new Map<string, TokenBucket>();

  /** Returns 0 when the cost was taken, otherwise the milliseconds until it can be. */
  takeCost(
    account: string,
    limit: AccountLimit,
    cost: number,
    now: Milliseconds,
  ): Milliseconds {
    const bucket = this.getBucket(`${account}\n${limit.rank}`, limit, now);
    if (cost <= bucket.available) {
      bucket.available -= cost;
      return 0;
    }
    const missing = cost - bucket.available;
    return (missing / limit.costPerSecond) * millisecondsPerSecond;
  }

  private getBucket(
    key: string,
    limit: AccountLimit,
    now: Milliseconds,
  ): TokenBucket {
    const known = this.buckets.get(key);
    if (!known) {
      const created = { available: limit.burstCost, updatedAt: now };
      this.buckets.set(key, created);
      return created;
    }
    const elapsedSeconds =
      Math.max(0, now - known.updatedAt) / millisecondsPerSecond;
    const refill = elapsedSeconds * limit.costPerSecond;
    known.available = Math.min(limit.burstCost, known.available + refill);
    known.updatedAt = now;
    return known;
  }
}
