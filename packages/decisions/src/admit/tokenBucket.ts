/** A token bucket: tokens come at a steady rate up to a capacity, and requests take them. */
import { millisecondsPerSecond, type Milliseconds } from '@lycheetally/common';

export interface TokenRate {
  readonly tokensPerSecond: number;
  /** Most tokens that are kept. */
  readonly capacity: number;
}

export class TokenBucket {
  constructor(
    private tokens: number,
    private updatedAt: Milliseconds,
  ) {}

  /** Adds what came since the last update, at the given rate. */
  update({ tokensPerSecond, capacity }: TokenRate, now: Milliseconds): void {
    const elapsedSeconds =
      Math.max(0, now - this.updatedAt) / millisecondsPerSecond;
    this.updatedAt = Math.max(this.updatedAt, now);
    this.tokens = Math.min(
      capacity,
      this.tokens + elapsedSeconds * tokensPerSecond,
    );
  }

  /** Takes tokens; for a request that cannot be held back, some that are yet to come. */
  take(count: number): void {
    this.tokens -= count;
  }

  /** Returns the time until there are that many tokens; 0 if there are. */
  estimateWait(count: number, { tokensPerSecond }: TokenRate): Milliseconds {
    const missing = count - this.tokens;
    return missing <= 0
      ? 0
      : (missing / tokensPerSecond) * millisecondsPerSecond;
  }
}
