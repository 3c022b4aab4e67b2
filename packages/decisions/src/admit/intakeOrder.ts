/** Decides which of the calls that wait to be taken goes next, and which has waited too long. */
import type { Milliseconds, ValueOf } from '@lycheetally/common';

/** The end of the queue at which the next call is taken. */
export const IntakeEnd = {
  Oldest: 'oldest',
  Newest: 'newest',
} as const;
export type IntakeEnd = ValueOf<typeof IntakeEnd>;

export abstract class IntakeOrder {
  /** `oldestQueuedAt` is when the call came that has waited longest. */
  abstract chooseEnd(
    oldestQueuedAt: Milliseconds,
    now: Milliseconds,
  ): IntakeEnd;

  /** Whether a call is refused, since another gateway would take it sooner. */
  abstract isOverdue(queuedAt: Milliseconds, now: Milliseconds): boolean;
}

/** Takes calls in the order of their arrival, however long they wait. */
export class ArrivalOrder extends IntakeOrder {
  override chooseEnd(): IntakeEnd {
    return IntakeEnd.Oldest;
  }

  override isOverdue(): boolean {
    return false;
  }
}

/** Wait of the oldest call up to which a queue is short, in milliseconds; a small part of the usual latency targets. */
const shortWaitMs = 100;

/** Wait after which a call is refused, in milliseconds; callers give up after a second or two. */
const maxWaitMs = 1_000;

/**
 * Takes the newest call while the oldest one has waited for long: in the order of arrival,
 * all would be served when their callers are about to leave. The overdue ones are refused in
 * turn with the newest, so that neither holds the other up.
 */
export class NewestWhenLate extends IntakeOrder {
  private wasOverdue = false;

  override chooseEnd(
    oldestQueuedAt: Milliseconds,
    now: Milliseconds,
  ): IntakeEnd {
    this.wasOverdue = !this.wasOverdue && this.isOverdue(oldestQueuedAt, now);
    return this.wasOverdue || now - oldestQueuedAt < shortWaitMs
      ? IntakeEnd.Oldest
      : IntakeEnd.Newest;
  }

  override isOverdue(queuedAt: Milliseconds, now: Milliseconds): boolean {
    return now - queuedAt >= maxWaitMs;
  }
}
