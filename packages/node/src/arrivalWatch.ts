/**
 * Tells how long something may have waited in a socket, or in the queue of a listener, before
 * the process read it.
 *
 * What is read now came after the poll before this one, as that one would have found it. The
 * end of the last but one turn of the event loop comes before that poll. The time that the
 * process has waited for I/O since then doesn't count: what comes while it waits is read at once.
 *
 * Of connections, each poll accepts one only. One that is accepted now came after the last poll
 * that found none.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { Clock } from './clock.js';

interface TurnEnd {
  readonly at: Milliseconds;
  /** Time that the process had waited until then. */
  readonly idleMs: Milliseconds;
}

export class ArrivalWatch {
  private lastEnd: TurnEnd;
  private endBefore: TurnEnd;
  /** The end of a turn after which a poll found no connection. */
  private emptyEnd: TurnEnd;

  constructor(private readonly clock: Clock) {
    this.lastEnd = { at: clock.getNow(), idleMs: clock.getIdleTime() };
    this.endBefore = this.lastEnd;
    this.emptyEnd = this.lastEnd;
  }

  /** Notes that a turn of the event loop has ended. */
  noteTurnEnd(now: Milliseconds): void {
    this.endBefore = this.lastEnd;
    this.lastEnd = { at: now, idleMs: this.clock.getIdleTime() };
  }

  /** Notes that the poll before the turn that runs now accepted no connection. */
  noteNoneAccepted(): void {
    this.emptyEnd = this.lastEnd;
  }

  /** Work since the last turn, most of it reads. */
  measureWork(now: Milliseconds): Milliseconds {
    return this.measureWorkSince(this.lastEnd, now);
  }

  /** Returns the earliest time at which what is read now can have arrived. */
  estimateArrival(now: Milliseconds): Milliseconds {
    return now - this.measureWorkSince(this.endBefore, now);
  }

  /** Returns the earliest time at which a connection that is accepted now can have come. */
  estimateConnection(now: Milliseconds): Milliseconds {
    return now - this.measureWorkSince(this.emptyEnd, now);
  }

  private measureWorkSince(
    { at, idleMs }: TurnEnd,
    now: Milliseconds,
  ): Milliseconds {
    return Math.max(0, now - at - (this.clock.getIdleTime() - idleMs));
  }
}
