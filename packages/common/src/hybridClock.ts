/**
 * Hybrid logical clock.
 *
 * A timestamp is one number: the wall clock in milliseconds times 4096, plus a
 * counter. Timestamps order events causally across processes whose clocks
 * differ: the next timestamp is always above every received one. Source:
 * Kulkarni et al., "Logical Physical Clocks", 2014.
 */
import type { Milliseconds } from './types.js';

const stampsPerMillisecond = 4_096;

/** A hybrid timestamp, in 1/4096 milliseconds since the Unix epoch. */
export type HybridTimestamp = number;

export class HybridClock {
  private last: HybridTimestamp = 0;

  /** Returns a timestamp above every one returned or observed before. */
  createTimestamp(now: Milliseconds): HybridTimestamp {
    const wall = Math.floor(now) * stampsPerMillisecond;
    this.last = Math.max(wall, this.last + 1);
    return this.last;
  }

  /** Advances the clock to a timestamp received from another process. */
  observeTimestamp(stamp: HybridTimestamp): void {
    if (Number.isSafeInteger(stamp)) {
      this.last = Math.max(this.last, stamp);
    }
  }
}

/** Returns the wall-clock part of a timestamp. */
export const toWallTime = (stamp: HybridTimestamp): Milliseconds =>
  Math.floor(stamp / stampsPerMillisecond);
