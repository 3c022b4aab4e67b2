/** Decides the order in which an agent starts queued work. */
import type { Milliseconds } from '@lycheetally/common';

/** The properties of queued work that determine its order. */
export interface WaitingWork {
  readonly rank: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  readonly account: string;
  /** Estimated cost in token units. */
  readonly cost: number;
  readonly enqueuedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
}

/** A queue of work; subclasses decide in which order the work starts. */
export abstract class WorkOrder<T extends WaitingWork = WaitingWork> {
  abstract add(work: T): void;
  /** Returns whether any work may start now. */
  hasNext(_now: Milliseconds): boolean {
    return this.size > 0;
  }

  /** Removes and returns the work to start next. */
  abstract takeNext(now: Milliseconds): T | undefined;
  /** Returns the priority of started work in the engine; 0 is the highest. */
  computePriority(work: T): number {
    return work.urgency;
  }

  /** Removes cancelled work; returns whether it was in the queue. */
  abstract remove(work: T): boolean;
  /** Records the actual cost and the run time of work that has ended. */
  finish(_work: T, _cost: number, _runMs?: Milliseconds): void {
    return;
  }

  abstract get size(): number;
  abstract list(): readonly T[];
}

/** Starts work in order of arrival. */
export class FifoOrder<
  T extends WaitingWork = WaitingWork,
> extends WorkOrder<T> {
  private readonly waiting: T[] = [];

  override add(work: T): void {
    this.waiting.push(work);
  }

  override takeNext(): T | undefined {
    return this.waiting.shift();
  }

  override remove(work: T): boolean {
    const index = this.waiting.indexOf(work);
    if (index < 0) {
      return false;
    }
    this.waiting.splice(index, 1);
    return true;
  }

  override get size(): number {
    return this.waiting.length;
  }

  override list(): readonly T[] {
    return this.waiting;
  }
}

/** Starts the most urgent rank first, and work of the same rank in order of arrival. */
export class UrgencyOrder<
  T extends WaitingWork = WaitingWork,
> extends FifoOrder<T> {
  override takeNext(): T | undefined {
    let best: T | undefined;
    for (const work of this.list()) {
      if (!best || work.urgency < best.urgency) {
        best = work;
      }
    }
    if (best) {
      this.remove(best);
    }
    return best;
  }
}
