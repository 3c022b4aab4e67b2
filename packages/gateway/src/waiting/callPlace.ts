/** What a call has of the queue of its service: it waits, has a place to run, or neither. */
import type { Milliseconds } from '@lycheetally/common';
import {
  QueueDecision,
  type ChainOutlook,
  type QueuedCallView,
  type Refusal,
  type RunEnd,
} from '@lycheetally/decisions';
import type { ServiceQueue } from './serviceQueue.js';

/** Told in an event of its own when the queue has decided on a waiting call. */
export interface PlaceListener {
  handleGranted(now: Milliseconds): void;
  handleRefused(refusal: Refusal, now: Milliseconds): void;
}

export class CallPlace {
  /** Whether it may run. */
  hasPlace = false;
  refusal: Refusal | undefined;
  private waitingSince: Milliseconds | undefined;
  private waitedMs: Milliseconds = 0;

  constructor(
    private readonly queue: ServiceQueue,
    readonly id: string,
    /** Identifies the same request when it comes back; computed only when it is needed. */
    private readonly getRequestKey: () => string,
    readonly listener: PlaceListener,
  ) {}

  /** What the same request was told before, if it was refused. */
  findRefused(): Pick<QueuedCallView, 'refusals' | 'toldAt'> {
    const { calls } = this.queue;
    const known = calls.hasRefused
      ? calls.findRefused(this.getRequestKey())
      : undefined;
    return known ?? { refusals: 0, toldAt: undefined };
  }

  /** Decides whether the call runs; it has a place until its end or until it finds no chain. */
  decide(view: QueuedCallView, now: Milliseconds): QueueDecision {
    return this.hasPlace
      ? QueueDecision.Run
      : this.apply(this.queue.calls.decide(view, now), view, now);
  }

  decideWithoutChain(
    view: QueuedCallView,
    outlook: ChainOutlook,
    now: Milliseconds,
  ): QueueDecision {
    this.hasPlace = false;
    const { calls } = this.queue;
    return this.apply(calls.decideWithoutChain(view, outlook, now), view, now);
  }

  noteGranted(now: Milliseconds): void {
    this.hasPlace = true;
    this.waitedMs += now - (this.waitingSince ?? now);
    this.waitingSince = undefined;
    this.queue.noteWaited(this.waitedMs);
  }

  noteRefused(view: QueuedCallView, refusal: Refusal, now: Milliseconds): void {
    this.refusal = refusal;
    this.waitedMs += now - (this.waitingSince ?? now);
    this.waitingSince = undefined;
    this.queue.calls.noteRefused(this.getRequestKey(), view, refusal, now);
    this.queue.noteRefused(refusal);
  }

  noteChain(hasRoom: boolean, now: Milliseconds): void {
    this.queue.calls.noteChain(hasRoom);
    this.queue.advance(now);
  }

  noteEvent(now: Milliseconds): void {
    this.queue.calls.noteEvent(this.id, now);
  }

  notePaused(): void {
    this.queue.calls.notePaused(this.id);
  }

  noteServerLost(): void {
    this.queue.calls.noteServerLost(this.id);
  }

  noteFailure(now: Milliseconds): void {
    this.queue.calls.noteFailure(this.id, now);
  }

  /** Leaves the queue, or gives the place to the next call. */
  end(end: RunEnd, now: Milliseconds): void {
    this.hasPlace = false;
    this.queue.end(this.id, end, now);
  }

  /** Describes the wait, and the forecast of a refusal, for a log line. */
  describe(): Readonly<Record<string, number | string>> {
    const { refusal } = this;
    return {
      waitedMs: Math.round(this.waitedMs),
      ...(refusal && {
        waitRefusal: refusal.reason,
        waitForecastMs: Math.round(refusal.waitMs),
        waitAhead: Math.round(refusal.ahead),
        waitRunning: refusal.running,
        waitLimit: refusal.limit,
        returnMs: Math.round(refusal.returnMs),
      }),
    };
  }

  private apply(
    decision: QueueDecision,
    view: QueuedCallView,
    now: Milliseconds,
  ): QueueDecision {
    if (decision === QueueDecision.Run) {
      this.hasPlace = true;
    } else if (decision === QueueDecision.Wait) {
      this.waitingSince ??= now;
      this.queue.add(this, now);
    } else {
      this.noteRefused(view, decision, now);
    }
    // A call without a chain has given its place back.
    this.queue.advance(now);
    return decision;
  }
}
