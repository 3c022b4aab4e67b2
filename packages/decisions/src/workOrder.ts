/** Decides the order in which an agent starts the work that waits. */
import type { Milliseconds } from '@lycheetally/common';

/** What the order knows of a waiting piece of work. */
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

/** A queue of waiting work with an order of its own. */
export abstract class WorkOrder<T extends WaitingWork = WaitingWork> {
  abstract add(work: T): void;
  /** Says whether work may start now. */
  hasNext(_now: Milliseconds): boolean {
    return this.size > 0;
  }

  /** Removes and returns the work to start next. */
  abstract takeNext(now: Milliseconds): T | undefined;
  /** Returns the priority that started work has in the engine; 0 goes first. */
  computePriority(work: T): number {
    return work.urgency;
  }

  /** Removes work that is no longer wanted; returns whether it waited. */
  abstract remove(work: T): boolean;
  /** Corrects the account of ended work by its true cost and the time of its run. */
  settle(_work: T, _cost: number, _runMs?: Milliseconds): void {
    return;
  }

  abstract get size(): number;
  abstract list(): readonly T[];
}

/** First come, first served. */
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

/** The most urgent rank first, first come first served inside a rank. */
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
