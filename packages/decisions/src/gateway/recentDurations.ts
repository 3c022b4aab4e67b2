/** The durations of the most recent calls of a route, scaled to the size of a call. */
import type { Milliseconds } from '@lycheetally/common';

/** How long a call took that completed. */
export interface CallDuration {
  readonly durationMs: Milliseconds;
  /** The most tokens that the call could have; absent without a limit. */
  readonly outputTokens: number | undefined;
}

interface TimedDuration extends CallDuration {
  readonly at: Milliseconds;
}

export class RecentDurations {
  private durations: TimedDuration[] = [];

  /** @param windowMs How long a duration counts. */
  constructor(
    private readonly windowMs: Milliseconds,
    private readonly maxSize: number,
  ) {}

  get size(): number {
    return this.durations.length;
  }

  add(duration: CallDuration, now: Milliseconds): void {
    this.durations.push({ ...duration, at: now });
    if (this.durations.length > this.maxSize) {
      this.durations.shift();
    }
  }

  /** Counts the recent durations. */
  count(now: Milliseconds): number {
    return this.durations.filter(({ at }) => now - at < this.windowMs).length;
  }

  /** Returns the share of recent calls that, scaled to the given tokens, took no longer; 0 if there are none. */
  countShareWithin(
    outputTokens: number | undefined,
    limitMs: Milliseconds,
    now: Milliseconds,
  ): number {
    const recent = this.durations.filter(({ at }) => now - at < this.windowMs);
    const within = recent.filter(
      duration => estimateDuration(duration, outputTokens) <= limitMs,
    );
    return recent.length === 0 ? 0 : within.length / recent.length;
  }
}

const estimateDuration = (
  duration: CallDuration,
  outputTokens: number | undefined,
): Milliseconds => {
  const { durationMs, outputTokens: before = 0 } = duration;
  return outputTokens === undefined || before <= 0
    ? durationMs
    : (durationMs * outputTokens) / before;
};
