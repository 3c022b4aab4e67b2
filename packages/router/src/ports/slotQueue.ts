/** The slots of a backend server and the queue of work that waits for them. */
import type { WaitingWork } from '@lycheetally/decisions';

/** Queued work that is notified when it gets a slot. */
export interface QueuedWork extends WaitingWork {
  /** Share of the service guaranteed to the rank while it has waiting work, from 0 to 1. */
  readonly rankFloor: number;
  readonly accountWeight: number;
  /**
   * Called once, from outside the event loop, when the work gets a slot.
   * `priority` orders the work within the engine; 0 goes first.
   */
  grantSlot(priority: number): void;
}

export abstract class SlotQueue {
  abstract enqueue(work: QueuedWork): void;
  /** Removes work from the queue, or frees its slot and accounts its actual cost. */
  abstract release(work: QueuedWork, cost: number): void;
  /** Number of work items that hold a slot. */
  abstract get running(): number;
  /** Number of work items that wait for a slot. */
  abstract get waiting(): number;
}
