/** The times at which a service wrote answers, in a bounded list. */
import type { Milliseconds } from '@lycheetally/common';

export class ServingTimes {
  private times: Milliseconds[] = [];

  /** Times closer than `resolutionMs` count as one; those older than `lifetimeMs` are dropped. */
  constructor(
    private readonly resolutionMs: Milliseconds,
    private readonly lifetimeMs: Milliseconds,
  ) {}

  add(now: Milliseconds): void {
    const { times, resolutionMs, lifetimeMs } = this;
    if (now - (times.at(-1) ?? -Infinity) < resolutionMs) {
      return;
    }
    times.push(now);
    if ((times[0] ?? now) < now - 2 * lifetimeMs) {
      this.times = times.filter(at => at >= now - lifetimeMs);
    }
  }

  /** Returns the time from a moment to the next answer; `Infinity` if none is known. */
  computePause(since: Milliseconds): Milliseconds {
    const { times } = this;
    let low = 0;
    let high = times.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((times[middle] ?? Infinity) > since) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return (times[low] ?? Infinity) - since;
  }
}
