/** A ring buffer of timestamped events, from which timelines are built. */
import type { HybridTimestamp } from './hybridClock.js';

/** One event of one process. */
export interface EventRecord {
  readonly stamp: HybridTimestamp;
  readonly process: string;
  readonly kind: string;
  readonly requestId?: string | undefined;
  readonly attempt?: number | undefined;
  readonly detail?: Readonly<Record<string, string | number | boolean>>;
}

export class EventRingBuffer {
  private readonly records: EventRecord[] = [];
  private next = 0;
  /** Number of records overwritten since the process started. */
  overwritten = 0;

  constructor(private readonly capacity: number) {}

  add(record: EventRecord): void {
    if (this.capacity === 0) {
      this.overwritten += 1;
      return;
    }
    if (this.records.length < this.capacity) {
      this.records.push(record);
      return;
    }
    this.records[this.next] = record;
    this.next = (this.next + 1) % this.capacity;
    this.overwritten += 1;
  }

  /** Lists the records, oldest first. */
  list(): EventRecord[] {
    return [
      ...this.records.slice(this.next),
      ...this.records.slice(0, this.next),
    ];
  }
}
