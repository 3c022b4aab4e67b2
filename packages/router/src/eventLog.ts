/** Stamps and keeps the events of one process for the time line. */
import {
  Emitter,
  EventRing,
  HybridClock,
  type EventRecord,
  type HybridStamp,
  type Milliseconds,
} from '@lycheetally/common';
import { eventRingCapacity } from './constants.js';

/** What an event is about. */
export interface EventSubject {
  readonly requestId?: string;
  readonly attempt?: number;
  readonly detail?: EventRecord['detail'];
}

export class EventLog {
  /** Emits each event as it is recorded. */
  readonly recorded = new Emitter<EventRecord>();
  private readonly ring: EventRing;
  private readonly clock = new HybridClock();

  /** A capacity of 0 keeps no events. */
  constructor(
    private readonly processId: string,
    capacity = eventRingCapacity,
  ) {
    this.ring = new EventRing(capacity);
  }

  /** Records an event of this process. */
  record(kind: string, now: Milliseconds, subject: EventSubject = {}): void {
    const event: EventRecord = {
      stamp: this.clock.takeStamp(now),
      process: this.processId,
      kind,
      ...subject,
    };
    this.ring.add(event);
    this.recorded.emit(event);
  }

  /** Returns a stamp for an outgoing frame. */
  takeStamp(now: Milliseconds): HybridStamp {
    return this.clock.takeStamp(now);
  }

  /** Takes note of the stamp of an incoming frame. */
  observeStamp(stamp: HybridStamp): void {
    this.clock.observeStamp(stamp);
  }

  /** Lists the events that are kept, oldest first. */
  list(): EventRecord[] {
    return this.ring.list();
  }

  get overwritten(): number {
    return this.ring.overwritten;
  }
}
