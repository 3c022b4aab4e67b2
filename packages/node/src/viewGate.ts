/**
 * Holds back what must not be done on an old view of the sockets.
 *
 * A request is written by what was read last: whether its caller is still there. After a long event the
 * end of the caller may wait in its socket, behind the event that lets the request be written. Such
 * an action waits for the next poll, and runs at the beginning of the turn after it.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { ArrivalWatch } from './arrivalWatch.js';
import type { Clock } from './clock.js';
import { maxViewAgeMs } from './constants.js';
import type { QueuedEvent } from './eventQueue.js';

export abstract class ViewGate {
  /** Runs the action on a recent view: now, or after a poll. */
  abstract run(action: () => void): void;
}

export class RecentViewGate extends ViewGate {
  private readonly waiting: QueuedEvent[] = [];
  /** Whether the last turn left actions waiting, since its poll took too long. */
  private hasSkipped = false;
  /** Whether one action runs on an old view: where each poll takes long, none would run otherwise. */
  private mayRunLate = false;

  constructor(
    private readonly clock: Clock,
    private readonly arrivals: ArrivalWatch,
    private readonly scheduleTurn: () => void,
  ) {
    super();
  }

  get isWaiting(): boolean {
    return this.waiting.length > 0;
  }

  override run(action: () => void): void {
    const now = this.clock.getNow();
    if (!this.isWaiting && this.measureAge(now) <= maxViewAgeMs) {
      action();
      return;
    }
    this.waiting.push({ kind: 'write', queuedAt: now, run: action });
    this.scheduleTurn();
  }

  /** Returns the most that the view of the sockets can be behind: what came that long ago may not be read yet. */
  measureAge(now: Milliseconds): Milliseconds {
    return now - this.arrivals.estimateArrival(now);
  }

  /** Begins a turn; I/O was polled since the one before. */
  beginTurn(): void {
    this.mayRunLate = this.hasSkipped;
    this.hasSkipped = false;
  }

  /** Removes the next action that may run at the beginning of this turn. */
  take(): QueuedEvent | undefined {
    if (!this.isWaiting) {
      return undefined;
    }
    const pollAgeMs = this.arrivals.measureWork(this.clock.getNow());
    if (pollAgeMs > maxViewAgeMs && !this.mayRunLate) {
      this.hasSkipped = true;
      return undefined;
    }
    this.mayRunLate = false;
    return this.waiting.shift();
  }
}
