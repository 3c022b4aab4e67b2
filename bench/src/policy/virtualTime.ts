/** A virtual clock with a heap of callbacks, ordered by time, then by when they were scheduled. */
import type { Milliseconds } from '@lycheetally/common';

interface ScheduledCallback {
  readonly at: Milliseconds;
  readonly order: number;
  readonly callback: (now: Milliseconds) => void;
}

const isBefore = (a: ScheduledCallback, b: ScheduledCallback): boolean =>
  a.at < b.at || (a.at === b.at && a.order < b.order);

export class VirtualTime {
  private readonly heap: ScheduledCallback[] = [];
  private scheduledCount = 0;
  private time: Milliseconds = 0;

  get now(): Milliseconds {
    return this.time;
  }

  schedule(delayMs: Milliseconds, callback: (now: Milliseconds) => void): void {
    this.scheduledCount += 1;
    this.push({
      at: this.time + delayMs,
      order: this.scheduledCount,
      callback,
    });
  }

  /** Runs the callbacks up to and including the end time, then sets the clock to it. */
  runUntil(end: Milliseconds): void {
    for (let next = this.heap[0]; next && next.at <= end; next = this.heap[0]) {
      this.removeFirst();
      this.time = next.at;
      next.callback(next.at);
    }
    this.time = end;
  }

  private push(scheduled: ScheduledCallback): void {
    const { heap } = this;
    let index = heap.length;
    heap.push(scheduled);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex];
      if (!parent || isBefore(parent, scheduled)) {
        break;
      }
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = scheduled;
  }

  private removeFirst(): void {
    const { heap } = this;
    const last = heap.pop();
    if (!last || heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      const childIndex = this.findEarlierChild(index);
      const child = heap[childIndex];
      if (!child || isBefore(last, child)) {
        break;
      }
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  }

  private findEarlierChild(index: number): number {
    const leftIndex = index * 2 + 1;
    const left = this.heap[leftIndex];
    const right = this.heap[leftIndex + 1];
    return left && right && isBefore(right, left) ? leftIndex + 1 : leftIndex;
  }
}
