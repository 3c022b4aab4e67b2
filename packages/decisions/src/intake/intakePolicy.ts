/**
 * Decides how many requests a backend server may be sent, by what it says that it takes.
 *
 * Load pattern: a server in need names a limit, for all gateways together, in its
 * answers. Requests beyond it would be slow or refused there, while other servers or
 * other gateways' requests have room.
 */
import type { Milliseconds } from '@lycheetally/common';
import { TokenBucket, type TokenRate } from '../admit/tokenBucket.js';

/** Strategy that holds requests to a server back. */
export abstract class IntakePolicy {
  /** Applies the limit that the server names, in requests per second; `undefined` if it names none. */
  abstract setLimit(
    limitPerSecond: number | undefined,
    now: Milliseconds,
  ): void;
  /** Counts a request that is sent. */
  abstract noteSent(now: Milliseconds): void;
  /** Returns the time until a request may be sent; 0 if one may be sent now. */
  abstract estimateWait(now: Milliseconds): Milliseconds;
}

/** Baseline: no limit is known. */
export class UnlimitedIntake extends IntakePolicy {
  override setLimit(): void {
    // Every request may be sent.
  }

  override noteSent(): void {
    // Every request may be sent.
  }

  override estimateWait(): Milliseconds {
    return 0;
  }
}

/** Rate at which a server that takes nothing is still asked, so that the end of its limit is noticed; in requests per second. */
const minLimitPerSecond = 0.5;

/** Time for which unused turns are kept. */
const burstSeconds = 0.5;

/** Part of a turn that rounding may lose. */
const roundingError = 1e-9;

/** How long a computed share is used. */
const shareLifetimeMs = 1_000;

/** Sends this gateway's part of the limit, evenly over time. */
export class SharedLimitIntake extends IntakePolicy {
  private limitPerSecond = 0;
  private bucket: TokenBucket | undefined;
  private rate: TokenRate = { tokensPerSecond: 0, capacity: 1 };
  private shareComputedAt: Milliseconds = -Infinity;

  constructor(
    /** Returns this gateway's part of a limit, from 0 to 1. */
    private readonly computeShare: (limitPerSecond: number) => number,
  ) {
    super();
  }

  override setLimit(
    limitPerSecond: number | undefined,
    now: Milliseconds,
  ): void {
    if (limitPerSecond === undefined) {
      this.bucket = undefined;
      return;
    }
    this.limitPerSecond = Math.max(minLimitPerSecond, limitPerSecond);
    if (!this.bucket) {
      this.rate = { tokensPerSecond: 0, capacity: 1 };
      this.bucket = new TokenBucket(0, now);
    }
    this.updateRate(this.bucket, now);
  }

  override noteSent(now: Milliseconds): void {
    this.bucket?.update(this.rate, now);
    this.bucket?.take(1);
  }

  override estimateWait(now: Milliseconds): Milliseconds {
    if (!this.bucket) {
      return 0;
    }
    if (now - this.shareComputedAt >= shareLifetimeMs) {
      this.updateRate(this.bucket, now);
    }
    this.bucket.update(this.rate, now);
    const hasTurn =
      this.bucket.estimateWait(1 - roundingError, this.rate) === 0;
    return hasTurn ? 0 : this.bucket.estimateWait(1, this.rate);
  }

  private updateRate(bucket: TokenBucket, now: Milliseconds): void {
    this.shareComputedAt = now;
    bucket.update(this.rate, now);
    const share = this.computeShare(this.limitPerSecond);
    const tokensPerSecond = share * this.limitPerSecond;
    const capacity = Math.max(1, tokensPerSecond * burstSeconds);
    this.rate = { tokensPerSecond, capacity };
    // Turns beyond a smaller capacity are lost.
    bucket.update(this.rate, now);
  }
}
