/** A token bucket: tokens come at a steady rate, and each request takes one. */
import { millisecondsPerSecond, type Milliseconds } from '@lycheetally/common';

/** Time for which unused tokens are kept. */
const burstSeconds = 0.5;

/** Part of a token that rounding may lose. */
const roundingError = 1e-9;

export class TokenBucket {
  private tokens = 0;

  /** Begins without tokens. */
  constructor(
    private ratePerSecond: number,
    private updatedAt: Milliseconds,
  ) {}

  /** Sets the rate from now on; the tokens are kept up to the new capacity. */
  setRate(ratePerSecond: number, now: Milliseconds): void {
    this.update(now);
    this.ratePerSecond = ratePerSecond;
    this.tokens = Math.min(this.tokens, this.capacity);
  }

  /** Takes a token; for a request that cannot be held back, one that is yet to come. */
  take(now: Milliseconds): void {
    this.update(now);
    this.tokens -= 1;
  }

  /** Returns the time until there is a whole token; 0 if there is one. */
  estimateWait(now: Milliseconds): Milliseconds {
    this.update(now);
    return this.tokens >= 1 - roundingError
      ? 0
      : ((1 - this.tokens) / this.ratePerSecond) * millisecondsPerSecond;
  }

  private get capacity(): number {
    return Math.max(1, this.ratePerSecond * burstSeconds);
  }

  private update(now: Milliseconds): void {
    const seconds = Math.max(0, now - this.updatedAt) / millisecondsPerSecond;
    this.updatedAt = Math.max(this.updatedAt, now);
    this.tokens = Math.min(
      this.capacity,
      this.tokens + seconds * this.ratePerSecond,
    );
  }
}
