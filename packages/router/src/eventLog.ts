/** Timestamps the events of one process and keeps them for the timeline. */
import {
  Emitter,
  EventRingBuffer,
  HybridClock,
  type EventRecord,
  type HybridTimestamp,
  type Milliseconds,
} from '@lycheetally/common';
import { eventRingCapacity } from './constants.js';

/** The request and attempt that an event belongs to, and its details. */
export interface EventSubject {
  readonly requestId?: string;
  readonly attempt?: number;
  readonly detail?: EventRecord['detail'];
}

export class EventLog {
  /** Emits each event when it is recorded. */
  readonly recorded = new Emitter<EventRecord>();
  private readonly ring: EventRingBuffer;
  private readonly clock = new HybridClock();

  /** A capacity of 0 keeps no events. */
  constructor(
    private readonly processId: string,
    capacity = eventRingCapacity,
  ) {
    this.ring = new EventRingBuffer(capacity);
  }

  /** Timestamps an event and adds it to the log. */
  record(kind: string, now: Milliseconds, subject: EventSubject = {}): void {
    const event: EventRecord = {
      stamp: this.clock.createTimestamp(now),
      process: this.processId,
      kind,
      ...subject,
    };
    this.ring.add(event);
    this.recorded.emit(event);
  }

  /** Returns a timestamp for an outgoing frame. */
  createTimestamp(now: Milliseconds): HybridTimestamp {
    return this.clock.createTimestamp(now);
  }

  /** Advances the clock to the timestamp of an incoming frame, if that is later. */
  observeTimestamp(timestamp: HybridTimestamp): void {
    this.clock.observeTimestamp(timestamp);
  }

  /** Lists the retained events, oldest first. */
  list(): EventRecord[] {
    return this.ring.list();
  }

  get overwritten(): number {
    return this.ring.overwritten;
  }
}
