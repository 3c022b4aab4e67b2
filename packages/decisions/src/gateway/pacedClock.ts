/**
 * A clock that runs as fast as open streams get their events, to compare the lifetimes of
 * streams that ran at different loads. Without events it shows the time.
 *
 * Load pattern: a burst slows the servers within a second, for the streams that are open
 * too; durations from before it are too short, and those from after it too long.
 */
import type { Milliseconds } from '@lycheetally/common';
import { DecayingSum } from '../load/decayingSum.js';

/** Time for an event at which the clock runs like the time; lifetimes are compared with each other only. */
const usualPaceMs = 50;

/** Half of what the present speed is taken from is more recent than this. */
const speedHalfLifeMs = 3_000;

export class PacedClock {
  /** Events of a stream, on average over those that were open. */
  private progress = 0;
  private firstEventAt: Milliseconds = Infinity;
  private open = 0;
  private countedAt: Milliseconds = 0;
  private readonly events = new DecayingSum(speedHalfLifeMs);
  /** Time that streams were open, over all of them. */
  private readonly openTime = new DecayingSum(speedHalfLifeMs);

  noteOpened(now: Milliseconds): void {
    this.countOpenTime(now);
    this.open += 1;
  }

  noteEvents(count: number, now: Milliseconds): void {
    this.firstEventAt = Math.min(this.firstEventAt, now);
    this.progress += count / Math.max(1, this.open);
    this.events.add(count, now);
  }

  noteEnded(now: Milliseconds): void {
    this.countOpenTime(now);
    this.open -= 1;
  }

  /** Returns what the clock shows. */
  read(now: Milliseconds): Milliseconds {
    return Math.min(now, this.firstEventAt) + this.progress * usualPaceMs;
  }

  /** Returns how fast the clock runs at present; 1 is as fast as the time. */
  measureSpeed(now: Milliseconds): number {
    this.countOpenTime(now);
    const events = this.events.get(now);
    const openMs = this.openTime.get(now);
    return events > 0 && openMs > 0 ? (usualPaceMs * events) / openMs : 1;
  }

  private countOpenTime(now: Milliseconds): void {
    const passedMs = Math.max(0, now - this.countedAt);
    this.countedAt = Math.max(now, this.countedAt);
    // Decays like the sum that it is added to.
    const decayedMs =
      ((1 - 2 ** (-passedMs / speedHalfLifeMs)) * speedHalfLifeMs) / Math.LN2;
    this.openTime.add(this.open * decayedMs, this.countedAt);
  }
}
