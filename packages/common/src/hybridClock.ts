/**
 * Hybrid logical clock.
 *
 * A timestamp is one number: the wall clock in milliseconds times 4096, plus a
 * counter. Timestamps order events causally across processes whose clocks
 * differ: the next timestamp is always above every received one. Source:
 * Kulkarni et al., "Logical Physical Clocks", 2014.
 */
import type { Milliseconds } from './types.js';

const timestampsPerMillisecond = 4_096;

/** A hybrid timestamp, in 1/4096 milliseconds since the Unix epoch. */
export type HybridTimestamp = number;

export class HybridClock {
  private last: HybridTimestamp = 0;

  /** Returns a timestamp above every one returned or observed before. */
  createTimestamp(now: Milliseconds): HybridTimestamp {
    const wall = Math.floor(now) * timestampsPerMillisecond;
    this.last = Math.max(wall, this.last + 1);
    return this.last;
  }

  /** Advances the clock to a timestamp received from another process. */
  observeTimestamp(timestamp: HybridTimestamp): void {
    if (Number.isSafeInteger(timestamp)) {
      this.last = Math.max(this.last, timestamp);
    }
  }
}

/** Returns the wall-clock part of a timestamp. */
export const toWallTime = (timestamp: HybridTimestamp): Milliseconds =>
  Math.floor(timestamp / timestampsPerMillisecond);
