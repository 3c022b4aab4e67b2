/** The bounded places of a backend server and the queue before them. */
import type { WaitingWork } from '@lycheetally/decisions';

/** Waiting work that is told when its place is free. */
export interface QueuedWork extends WaitingWork {
  /** Called once, from outside the loop, when the work has a place. */
  grantSlot(): void;
}

export abstract class SlotQueue {
  abstract enqueue(work: QueuedWork): void;
  /** Takes work out of the queue, or gives its place back. */
  abstract release(work: QueuedWork): void;
  /** Pieces of work that hold a place. */
  abstract get running(): number;
  /** Pieces of work that wait. */
  abstract get waiting(): number;
}
