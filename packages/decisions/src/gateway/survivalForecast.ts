/**
 * Forecasts from the lifetimes of recent calls of the same kind. Calls that are still open
 * count at their ages: a process that began seconds ago has seen only short calls end.
 */
import { dropOldest, type Milliseconds } from '@lycheetally/common';
import {
  DurationForecast,
  type DurationEstimate,
  type ForecastCall,
  type NoteEnd,
} from './durationForecast.js';
import { RecentLifetimes } from './recentLifetimes.js';

export interface SurvivalSettings {
  /** How long a call counts after it was opened. */
  readonly windowMs: Milliseconds;
  /** Kinds of calls that are kept; the one that was used least recently is dropped. */
  readonly maxKinds: number;
  /** Ended calls without which nothing is known of the share. */
  readonly minSamples: number;
  /** Ended calls without which a call takes until its deadline. */
  readonly minSlowestSamples: number;
  /** Durations grow with this power of the expected size; below 1, since the expectation is often far off. */
  readonly sizeExponent: number;
  /** Safety margin as a factor of the slowest duration, 1 at least. */
  readonly factor: number;
  /** Safety margin on top of it. */
  readonly extraMs: Milliseconds;
}

export class SurvivalForecast extends DurationForecast {
  private readonly kinds = new Map<string, RecentLifetimes>();

  constructor(private readonly settings: SurvivalSettings) {
    super();
  }

  /** Number of values that are kept. */
  get size(): number {
    return [...this.kinds.values()].reduce((sum, { size }) => sum + size, 0);
  }

  override noteOpened(call: ForecastCall, now: Milliseconds): NoteEnd {
    const lifetimes = this.reuseKind(call.kind);
    const open = { openedAt: now, scale: this.computeScale(call) };
    lifetimes.add(open);
    return (isComplete, endedAt) => {
      lifetimes.end(open, isComplete, endedAt);
    };
  }

  override estimateBy(
    call: ForecastCall,
    endsAt: Milliseconds,
    now: Milliseconds,
  ): DurationEstimate {
    const { factor, extraMs, minSamples, minSlowestSamples } = this.settings;
    const scale = this.computeScale(call);
    const lifetimes = this.kinds.get(call.kind);
    const table = lifetimes?.buildTable(now);
    const samples = table?.endings ?? 0;
    const leftMs = Math.max(0, call.deadlineAt - now);
    const limit = (endsAt - now) / scale;
    const longestMs =
      (table?.findLongest() ?? Infinity) * scale * factor + extraMs;
    // Who has watched for little longer than that cannot have seen a longer call end.
    const isSlowestKnown =
      samples >= minSlowestSamples &&
      2 * longestMs <= (lifetimes?.measureObserved(now) ?? 0);
    const share =
      samples < minSamples ? 0 : (table?.estimateShareWithin(limit) ?? 0);
    return {
      slowestMs: isSlowestKnown ? Math.min(leftMs, longestMs) : leftMs,
      share: call.deadlineAt <= endsAt ? 1 : share,
      samples,
    };
  }

  private computeScale({ expectedSize }: ForecastCall): number {
    return Math.max(1, expectedSize) ** this.settings.sizeExponent;
  }

  /** Returns the lifetimes of a kind as the most recently used ones. */
  private reuseKind(kind: string): RecentLifetimes {
    const lifetimes =
      this.kinds.get(kind) ?? new RecentLifetimes(this.settings.windowMs);
    this.kinds.delete(kind);
    this.kinds.set(kind, lifetimes);
    dropOldest(this.kinds, this.settings.maxKinds);
    return lifetimes;
  }
}
