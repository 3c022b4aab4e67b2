/** When servers of one service crashed, each crash once, in a bounded table. */
import { dropOldest, type Milliseconds } from '@lycheetally/common';

export class CrashTimes {
  private readonly times = new Map<string, Milliseconds>();

  constructor(private readonly maxSize: number) {}

  /** Adds a crash; the earliest time that is known of it counts. */
  add(crash: string, at: Milliseconds): void {
    const known = this.times.get(crash);
    this.times.set(crash, Math.min(known ?? at, at));
    dropOldest(this.times, this.maxSize);
  }

  /** Returns when the crash happened; `undefined` if it is not known. */
  find(crash: string): Milliseconds | undefined {
    return this.times.get(crash);
  }

  has(crash: string): boolean {
    return this.times.has(crash);
  }

  /** Removes a supposed crash of a server that went on. */
  remove(crash: string): void {
    this.times.delete(crash);
  }

  /** Counts the crashes from a time on. */
  countSince(at: Milliseconds): number {
    let crashes = 0;
    for (const time of this.times.values()) {
      crashes += time >= at ? 1 : 0;
    }
    return crashes;
  }

  /** Lists the crashes from a time on. */
  listSince(at: Milliseconds): string[] {
    return [...this.times].flatMap(([crash, time]) =>
      time >= at ? [crash] : [],
    );
  }

  /** Counts the crashes less than `withinMs` before or after a time. */
  count(at: Milliseconds, withinMs: Milliseconds): number {
    let crashes = 0;
    for (const time of this.times.values()) {
      crashes += Math.abs(time - at) < withinMs ? 1 : 0;
    }
    return crashes;
  }
}
