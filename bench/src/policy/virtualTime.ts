/** A virtual clock with a heap of callbacks, ordered by time, then by when they were scheduled. */
import type { Milliseconds } from '@lycheetally/common';

interface TimedCall {
  readonly at: Milliseconds;
  readonly sequence: number;
  readonly call: (now: Milliseconds) => void;
}

const isBefore = (a: TimedCall, b: TimedCall): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

export class VirtualTime {
  private readonly heap: TimedCall[] = [];
  private sequence = 0;
  private time: Milliseconds = 0;

  get now(): Milliseconds {
    return this.time;
  }

  schedule(delayMs: Milliseconds, call: (now: Milliseconds) => void): void {
    this.sequence += 1;
    this.push({ at: this.time + delayMs, sequence: this.sequence, call });
  }

  /** Runs the callbacks up to and including the end time, then sets the clock to it. */
  runUntil(end: Milliseconds): void {
    for (let next = this.heap[0]; next && next.at <= end; next = this.heap[0]) {
      this.dropFirst();
      this.time = next.at;
      next.call(next.at);
    }
    this.time = end;
  }

  private push(timed: TimedCall): void {
    const { heap } = this;
    let index = heap.length;
    heap.push(timed);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex];
      if (!parent || isBefore(parent, timed)) {
        break;
      }
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = timed;
  }

  private dropFirst(): void {
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
