/**
 * Hybrid logical clock.
 *
 * A stamp is one number: the wall clock in milliseconds times 4096, plus a
 * counter. Stamps order events causally over processes whose clocks differ:
 * a received stamp is never above the next one given out. Source: Kulkarni et
 * al., "Logical Physical Clocks", 2014.
 */
import type { Milliseconds } from './types.js';

const stampsPerMillisecond = 4_096;

/** Hybrid time, in 1/4096 milliseconds. */
export type HybridStamp = number;

export class HybridClock {
  private last: HybridStamp = 0;

  /** Returns a stamp above every stamp given out or observed before. */
  takeStamp(now: Milliseconds): HybridStamp {
    const wall = Math.floor(now) * stampsPerMillisecond;
    this.last = Math.max(wall, this.last + 1);
    return this.last;
  }

  /** Takes note of a stamp that came from another process. */
  observeStamp(stamp: HybridStamp): void {
    if (Number.isSafeInteger(stamp)) {
      this.last = Math.max(this.last, stamp);
    }
  }
}

/** Returns the wall-clock part of a stamp in milliseconds. */
export const toWallTime = (stamp: HybridStamp): Milliseconds =>
  Math.floor(stamp / stampsPerMillisecond);
