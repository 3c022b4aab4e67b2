/**
 * The largest value of the recent past, in bounded memory.
 *
 * The window is divided into slots, and each slot keeps only its largest value, so
 * that no number of smaller values displaces a large one before its time.
 */
import type { Milliseconds } from '@lycheetally/common';

interface Slot {
  readonly index: number;
  max: number;
  /** Values that count as samples. */
  samples: number;
}

const slotsPerWindow = 6;

export class RecentMaximum {
  private slots: Slot[] = [];
  private readonly slotMs: Milliseconds;

  /** @param windowMs How long a value counts; it is dropped at most a sixth of this time later. */
  constructor(private readonly windowMs: Milliseconds) {
    this.slotMs = windowMs / slotsPerWindow;
  }

  /** Number of slots in memory. */
  get size(): number {
    return this.slots.length;
  }

  /** Records a value that was measured. */
  add(value: number, now: Milliseconds): void {
    const slot = this.getSlot(now);
    slot.max = Math.max(slot.max, value);
    slot.samples += 1;
  }

  /** Raises the maximum to a value that is not a sample. */
  putBound(value: number, now: Milliseconds): void {
    const slot = this.getSlot(now);
    slot.max = Math.max(slot.max, value);
  }

  /** Returns the largest recent value; 0 if there is none. */
  get(now: Milliseconds): number {
    this.dropOld(now);
    return this.slots.reduce((max, slot) => Math.max(max, slot.max), 0);
  }

  countSamples(now: Milliseconds): number {
    this.dropOld(now);
    return this.slots.reduce((sum, slot) => sum + slot.samples, 0);
  }

  private getSlot(now: Milliseconds): Slot {
    this.dropOld(now);
    const index = Math.floor(now / this.slotMs);
    const last = this.slots.at(-1);
    if (last && last.index >= index) {
      return last;
    }
    const slot = { index, max: 0, samples: 0 };
    this.slots.push(slot);
    return slot;
  }

  /** Drops the slots that ended before the window began. */
  private dropOld(now: Milliseconds): void {
    const startsAt = now - this.windowMs;
    this.slots = this.slots.filter(
      ({ index }) => (index + 1) * this.slotMs > startsAt,
    );
  }
}
