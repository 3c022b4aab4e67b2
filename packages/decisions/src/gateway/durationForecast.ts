/**
 * Forecasts how long a call takes, to decide whether it ends before a given time.
 *
 * Load pattern: a gateway is stopped while callers send long streams and short calls.
 * What is still open at its drain timeout is cut, so a call is taken only if it ends
 * before; a refused call goes to another gateway.
 */
import type { Milliseconds } from '@lycheetally/common';
import { RecentDurations } from './recentDurations.js';
import { RecentMaximum } from './recentMaximum.js';

/** A call as the forecast sees it. */
export interface ForecastCall {
  /** Calls of the same route take similar times. */
  readonly route: string;
  /** The most tokens that a stream may have; absent if the length of the response is not limited. */
  readonly outputTokens: number | undefined;
  /** When the call ends at the latest. */
  readonly deadlineAt: Milliseconds;
}

/** How long a call took, or how long it has been open. */
export interface CallTiming {
  readonly durationMs: Milliseconds;
  /** Time to the first byte of a stream; absent before it and for other calls. */
  readonly firstByteMs: Milliseconds | undefined;
}

export abstract class DurationForecast {
  /** Notes how long a call took that completed. */
  abstract noteComplete(
    call: ForecastCall,
    timing: CallTiming,
    now: Milliseconds,
  ): void;
  /** Notes how long a call has been open, which is less than it will take. */
  abstract noteOpen(
    call: ForecastCall,
    timing: CallTiming,
    now: Milliseconds,
  ): void;
  /** Estimates how long a call takes from now on, at most until its deadline. */
  abstract estimateDuration(
    call: ForecastCall,
    now: Milliseconds,
  ): Milliseconds;

  /** Estimates the share of such calls that end by that time, from 0 to 1. */
  abstract estimateShareBy(
    call: ForecastCall,
    endsAt: Milliseconds,
    now: Milliseconds,
  ): number;

  /** Counts the observations that the share is taken from. */
  abstract countSamples(call: ForecastCall, now: Milliseconds): number;

  /** Whether a call that starts now ends by that time even if it is as slow as any recent one. */
  mayEndBy(
    call: ForecastCall,
    endsAt: Milliseconds,
    now: Milliseconds,
  ): boolean {
    return now + this.estimateDuration(call, now) <= endsAt;
  }
}

/** Baseline: a call takes until its deadline. */
export class DeadlineForecast extends DurationForecast {
  override noteComplete(): void {
    // The deadline does not depend on other calls.
  }

  override noteOpen(): void {
    // The deadline does not depend on other calls.
  }

  override estimateDuration(
    { deadlineAt }: ForecastCall,
    now: Milliseconds,
  ): Milliseconds {
    return Math.max(0, deadlineAt - now);
  }

  override estimateShareBy(
    { deadlineAt }: ForecastCall,
    endsAt: Milliseconds,
  ): number {
    return deadlineAt <= endsAt ? 1 : 0;
  }

  override countSamples(): number {
    return 0;
  }
}

export interface SlowestRecentSettings {
  /** How long a duration counts. */
  readonly windowMs: Milliseconds;
  /** Routes whose durations are kept; the one that was used least recently is dropped. */
  readonly maxRoutes: number;
  /** Durations of a route that are kept to estimate shares. */
  readonly maxDurations: number;
  /** Samples without which the deadline counts. */
  readonly minSamples: number;
  /** Safety margin as a factor of the slowest duration, 1 at least. */
  readonly factor: number;
  /** Safety margin on top of it. */
  readonly extraMs: Milliseconds;
}

/** Recent durations of the calls of a route. */
interface RouteDurations {
  readonly firstByte: RecentMaximum;
  /** Time after the first byte for each token that the call may have. */
  readonly pace: RecentMaximum;
  /** Durations of calls without a limit of tokens. */
  readonly whole: RecentMaximum;
  readonly recent: RecentDurations;
}

/**
 * A call takes as long as the slowest recent one of its route. A stream with a limit
 * of tokens takes the slowest first byte and the slowest pace for each token.
 */
export class SlowestRecentForecast extends DurationForecast {
  private readonly routes = new Map<string, RouteDurations>();

  constructor(private readonly settings: SlowestRecentSettings) {
    super();
  }

  /** Number of values that are kept. */
  get size(): number {
    return [...this.routes.values()].reduce(
      (sum, { firstByte, pace, whole, recent }) =>
        sum + firstByte.size + pace.size + whole.size + recent.size,
      0,
    );
  }

  override noteComplete(
    call: ForecastCall,
    { durationMs, firstByteMs }: CallTiming,
    now: Milliseconds,
  ): void {
    const { firstByte, pace, whole, recent } = this.reuseRoute(call.route);
    recent.add({ durationMs, outputTokens: call.outputTokens }, now);
    if (call.outputTokens === undefined || firstByteMs === undefined) {
      whole.add(durationMs, now);
      return;
    }
    firstByte.add(firstByteMs, now);
    pace.add((durationMs - firstByteMs) / toTokens(call.outputTokens), now);
  }

  override noteOpen(
    call: ForecastCall,
    { durationMs, firstByteMs }: CallTiming,
    now: Milliseconds,
  ): void {
    const { firstByte, pace, whole } = this.reuseRoute(call.route);
    if (call.outputTokens === undefined) {
      whole.putBound(durationMs, now);
      return;
    }
    firstByte.putBound(firstByteMs ?? durationMs, now);
    if (firstByteMs !== undefined) {
      const tokens = toTokens(call.outputTokens);
      pace.putBound((durationMs - firstByteMs) / tokens, now);
    }
  }

  override estimateDuration(
    call: ForecastCall,
    now: Milliseconds,
  ): Milliseconds {
    const { factor, extraMs } = this.settings;
    const leftMs = Math.max(0, call.deadlineAt - now);
    const slowestMs = this.findSlowest(call, now);
    return slowestMs === undefined
      ? leftMs
      : Math.min(leftMs, slowestMs * factor + extraMs);
  }

  /** Without recent calls, the deadline alone says when the call ends. */
  override estimateShareBy(
    { route, outputTokens, deadlineAt }: ForecastCall,
    endsAt: Milliseconds,
    now: Milliseconds,
  ): number {
    return deadlineAt <= endsAt
      ? 1
      : (this.routes
          .get(route)
          ?.recent.countShareWithin(outputTokens, endsAt - now, now) ?? 0);
  }

  override countSamples(call: ForecastCall, now: Milliseconds): number {
    return this.routes.get(call.route)?.recent.count(now) ?? 0;
  }

  private findSlowest(
    { route, outputTokens }: ForecastCall,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const durations = this.routes.get(route);
    if (!durations) {
      return undefined;
    }
    const { firstByte, pace, whole } = durations;
    const { minSamples } = this.settings;
    if (outputTokens === undefined) {
      return whole.countSamples(now) < minSamples ? undefined : whole.get(now);
    }
    return pace.countSamples(now) < minSamples
      ? undefined
      : firstByte.get(now) + pace.get(now) * toTokens(outputTokens);
  }

  /** Returns the durations of a route as the most recently used ones. */
  private reuseRoute(route: string): RouteDurations {
    const durations = this.routes.get(route) ?? this.createDurations();
    this.routes.delete(route);
    this.routes.set(route, durations);
    const [oldest] = this.routes.keys();
    if (this.routes.size > this.settings.maxRoutes && oldest !== undefined) {
      this.routes.delete(oldest);
    }
    return durations;
  }

  private createDurations(): RouteDurations {
    const { windowMs } = this.settings;
    return {
      firstByte: new RecentMaximum(windowMs),
      pace: new RecentMaximum(windowMs),
      whole: new RecentMaximum(windowMs),
      recent: new RecentDurations(windowMs, this.settings.maxDurations),
    };
  }
}

const toTokens = (outputTokens: number): number => Math.max(1, outputTokens);
