/** The bounded places of a backend server and the queue before them. */
import type { WaitingWork } from '@lycheetally/decisions';

/** Waiting work that is told when its place is free. */
export interface QueuedWork extends WaitingWork {
  /** Share that the rank keeps while it waits, from 0 to 1. */
  readonly rankFloor: number;
  readonly accountWeight: number;
  /**
   * Called once, from outside the loop, when the work has a place. Takes the
   * priority in the engine; 0 goes first.
   */
  grantSlot(priority: number): void;
}

export abstract class SlotQueue {
  abstract enqueue(work: QueuedWork): void;
  /** Takes work out of the queue, or gives its place back with its true cost. */
  abstract release(work: QueuedWork, cost: number): void;
  /** Pieces of work that hold a place. */
  abstract get running(): number;
  /** Pieces of work that wait. */
  abstract get waiting(): number;
}
