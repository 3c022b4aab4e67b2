/** Measures a turn of the event loop while it runs. */
import type { Milliseconds } from '@lycheetally/common';
import type { QueuedEvent } from './eventQueue.js';

/** What a turn took. */
export interface TurnMeasure {
  readonly durationMs: Milliseconds;
  /** Work between the turn before and this one, most of it reads. */
  readonly readMs: Milliseconds;
  readonly events: number;
  /** Events that wait for the next turn. */
  readonly waiting: number;
  /** Longest time that an event of this turn had waited. */
  readonly longestWaitMs: Milliseconds;
  /** The event that took longest. */
  readonly longestEventMs: Milliseconds;
  readonly longestKind: string;
}

export class TurnClock {
  /** Whether work that waits behind the events was done. */
  hasWorked = false;
  private events = 0;
  private longestWaitMs = 0;
  private longestEventMs = 0;
  private longestKind = '';

  constructor(
    private readonly startedAt: Milliseconds,
    /** When the last event of the turn was handled. */
    public now = startedAt,
  ) {}

  get elapsedMs(): Milliseconds {
    return this.now - this.startedAt;
  }

  noteEvent({ kind, queuedAt }: QueuedEvent, handledAt: Milliseconds): void {
    const eventMs = handledAt - this.now;
    this.events += 1;
    this.longestWaitMs = Math.max(this.longestWaitMs, this.now - queuedAt);
    if (eventMs > this.longestEventMs) {
      this.longestEventMs = eventMs;
      this.longestKind = kind;
    }
    this.now = handledAt;
  }

  describe(): Omit<TurnMeasure, 'readMs' | 'waiting'> {
    const { elapsedMs, events, longestWaitMs } = this;
    const { longestEventMs, longestKind } = this;
    return {
      durationMs: elapsedMs,
      events,
      longestWaitMs,
      longestEventMs,
      longestKind,
    };
  }
}
