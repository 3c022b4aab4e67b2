/** Stamps and keeps the events of one process for the time line. */
import {
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
  private readonly ring = new EventRing(eventRingCapacity);
  private readonly clock = new HybridClock();

  constructor(private readonly processId: string) {}

  /** Records an event of this process. */
  record(kind: string, now: Milliseconds, subject: EventSubject = {}): void {
    this.ring.add({
      stamp: this.clock.takeStamp(now),
      process: this.processId,
      kind,
      ...subject,
    });
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
