/**
 * A copy of a table of the store: the newest value of each key and the latest
 * changes, so that other gateways can follow the table here.
 */
import {
  advancePosition,
  comparePositions,
  storeStart,
  type StorePosition,
} from '@lycheetally/decisions';
import type { KeyedText, TableBatch } from '../ports.js';

/** Changes that are kept; a gateway that is further behind reads all newest values. */
const maxChanges = 2_000;

/** Size of the kept changes, in characters. */
const maxChangeSize = 2 * 1_024 * 1_024;

export class TableHistory {
  /** Position after the newest record. */
  next = storeStart;
  private readonly newest = new Map<string, string>();
  private changes: KeyedText[] = [];
  private changeSize = 0;

  /** Replaces the copy by the newest values. */
  applyNewest(batch: TableBatch): void {
    this.newest.clear();
    this.changes = [];
    this.changeSize = 0;
    this.next = batch.next;
    batch.records.forEach(record => {
      this.setNewest(record);
    });
  }

  /** Adds the records that follow the copy. */
  applyChanges(batch: TableBatch): void {
    for (const record of batch.records) {
      this.setNewest(record);
      this.changes.push(record);
      this.changeSize += measureRecord(record);
    }
    this.next = batch.next;
    this.dropOldest();
  }

  /** Returns the records from a position on, or `undefined` if they are not kept. */
  readChanges(from: StorePosition): readonly KeyedText[] | undefined {
    const first = advancePosition(this.next, -this.changes.length);
    return comparePositions(from, first) < 0 ||
      comparePositions(from, this.next) > 0
      ? undefined
      : this.changes.slice(from.offset - first.offset);
  }

  readNewest(): readonly KeyedText[] {
    return [...this.newest].map(([key, value]) => ({ key, value }));
  }

  private setNewest({ key, value }: KeyedText): void {
    if (value === undefined) {
      this.newest.delete(key);
    } else {
      this.newest.set(key, value);
    }
  }

  private dropOldest(): void {
    let dropped = 0;
    while (
      this.changes.length - dropped > maxChanges ||
      this.changeSize > maxChangeSize
    ) {
      const oldest = this.changes[dropped];
      if (!oldest) {
        break;
      }
      this.changeSize -= measureRecord(oldest);
      dropped += 1;
    }
    this.changes.splice(0, dropped);
  }
}

const measureRecord = ({ key, value }: KeyedText): number =>
  key.length + (value?.length ?? 0);
