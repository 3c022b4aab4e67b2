/** Rate and burst limits by account and rank, in token units. */
import type { Milliseconds } from '@lycheetally/common';
import { TokenBucket } from './tokenBucket.js';

/** Rate limit of an account for requests of one rank. */
export interface AccountLimit {
  readonly rank: string;
  /** Refill rate in token units per second. */
  readonly costPerSecond: number;
  /** Bucket capacity in token units. */
  readonly burstCost: number;
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
    const rate = {
      tokensPerSecond: limit.costPerSecond,
      capacity: limit.burstCost,
    };
    const key = `${account}\n${limit.rank}`;
    const bucket =
      this.buckets.get(key) ?? new TokenBucket(limit.burstCost, now);
    this.buckets.set(key, bucket);
    bucket.update(rate, now);
    const waitMs = bucket.estimateWait(cost, rate);
    if (waitMs === 0) {
      bucket.take(cost);
    }
    return waitMs;
  }
}
