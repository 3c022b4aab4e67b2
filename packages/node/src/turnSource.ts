/** Work that an event loop does after the events of a turn, as far as the time of the turn lasts. */
import type { Milliseconds } from '@lycheetally/common';
import type { QueuedEvent } from './eventQueue.js';

export abstract class TurnSource {
  /** Whether there is work for this turn or a later one. */
  abstract get isWaiting(): boolean;
  /** Begins a turn; I/O was polled since the one before. */
  abstract beginTurn(): void;
  /** Removes the next piece of work that may be done in this turn. */
  abstract take(now: Milliseconds): QueuedEvent | undefined;
}

export class EmptyTurnSource extends TurnSource {
  override readonly isWaiting = false;

  override beginTurn(): void {
    // There is nothing to begin.
  }

  override take(): undefined {
    return undefined;
  }
}
