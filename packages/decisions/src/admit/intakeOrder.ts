/** Decides which of the calls that wait to be taken goes next, and which has waited too long. */
import type { Milliseconds } from '@lycheetally/common';

/** The end of the queue at which the next call is taken. */
export const IntakeEnd = {
  Oldest: 'oldest',
  Newest: 'newest',
} as const;
export type IntakeEnd = (typeof IntakeEnd)[keyof typeof IntakeEnd];

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
