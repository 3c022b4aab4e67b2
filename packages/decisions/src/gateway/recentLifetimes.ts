/**
 * The lifetimes of the calls of one kind that were opened recently, also of those still open.
 *
 * A call counts in the slot in which it was opened: counted where they end, short calls
 * would be recent and long ones would not.
 */
import type { Milliseconds } from '@lycheetally/common';
import { LifeTable } from './lifeTable.js';

/** A call that is open. */
export interface OpenCall {
  readonly openedAt: Milliseconds;
  /** What the duration is divided by, to compare calls of different sizes. */
  readonly scale: number;
}

const slotsPerWindow = 6;

export class RecentLifetimes {
  private readonly open = new Set<OpenCall>();
  private readonly slots = new Map<number, LifeTable>();
  private readonly slotMs: Milliseconds;
  private firstOpenedAt = Infinity;

  /** @param windowMs How long a call counts after it was opened. */
  constructor(private readonly windowMs: Milliseconds) {
    this.slotMs = windowMs / slotsPerWindow;
  }

  /** Number of values that are kept; the open calls are as many as the process has. */
  get size(): number {
    return [...this.slots.values()].reduce(
      (sum, table) => sum + table.size,
      this.open.size,
    );
  }

  /** Returns how long calls have been observed without a gap of a whole window. */
  measureObserved(now: Milliseconds): Milliseconds {
    return Math.max(0, now - this.firstOpenedAt);
  }

  add(call: OpenCall): void {
    this.dropOld(call.openedAt);
    const isFirst = this.open.size === 0 && this.slots.size === 0;
    this.firstOpenedAt = isFirst
      ? call.openedAt
      : Math.min(this.firstOpenedAt, call.openedAt);
    this.open.add(call);
  }

  /** Ends an open call; one that was given up lasted at least that long. */
  end(call: OpenCall, isComplete: boolean, now: Milliseconds): void {
    if (!this.open.delete(call)) {
      return;
    }
    this.dropOld(now);
    const index = Math.floor(call.openedAt / this.slotMs);
    if (this.isOld(index, now)) {
      return;
    }
    const table = this.slots.get(index) ?? new LifeTable();
    this.slots.set(index, table);
    const value = measureLifetime(call, now);
    if (isComplete) {
      table.addEnded(value);
    } else {
      table.addOpen(value);
    }
  }

  /** Builds the table of all recent calls, with the open ones at their present ages. */
  buildTable(now: Milliseconds): LifeTable {
    this.dropOld(now);
    const all = new LifeTable();
    for (const table of this.slots.values()) {
      all.addAll(table);
    }
    for (const call of this.open) {
      all.addOpen(measureLifetime(call, now));
    }
    return all;
  }

  private dropOld(now: Milliseconds): void {
    for (const index of this.slots.keys()) {
      if (this.isOld(index, now)) {
        this.slots.delete(index);
      }
    }
  }

  private isOld(index: number, now: Milliseconds): boolean {
    return (index + 1) * this.slotMs <= now - this.windowMs;
  }
}

const measureLifetime = (
  { openedAt, scale }: OpenCall,
  now: Milliseconds,
): number => (now - openedAt) / scale;
