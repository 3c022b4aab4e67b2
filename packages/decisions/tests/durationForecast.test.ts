/** A stopping gateway takes no call that outlasts it: the forecast is never too short and stays bounded. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  DeadlineForecast,
  SlowestRecentForecast,
  type CallTiming,
  type ForecastCall,
} from '../src/index.js';

const settings = {
  windowMs: 6_000,
  maxRoutes: 3,
  maxDurations: 10,
  minSamples: 2,
  factor: 1,
  extraMs: 0,
};

const farDeadline = 1e12;

interface Sample {
  readonly call: ForecastCall;
  readonly timing: CallTiming;
  readonly at: number;
}

/** Durations that add up to any order of calls, with and without a limit of tokens. */
const history = fc
  .array(
    fc.record({
      route: fc.constantFrom('a', 'b'),
      tokens: fc.option(fc.integer({ min: 0, max: 300 }), { nil: undefined }),
      firstByteMs: fc.integer({ min: 0, max: 2_000 }),
      restMs: fc.integer({ min: 0, max: 20_000 }),
      pauseMs: fc.integer({ min: 0, max: 1_500 }),
    }),
    { maxLength: 40 },
  )
  .map(steps => {
    let at = 1_000;
    return steps.map(({ route, tokens, firstByteMs, restMs, pauseMs }) => {
      at += pauseMs;
      return {
        call: { route, outputTokens: tokens, deadlineAt: farDeadline },
        timing: {
          durationMs: firstByteMs + restMs,
          firstByteMs: tokens === undefined ? undefined : firstByteMs,
        },
        at,
      };
    });
  });

const createForecast = (samples: readonly Sample[]): SlowestRecentForecast => {
  const forecast = new SlowestRecentForecast(settings);
  for (const { call, timing, at } of samples) {
    forecast.noteComplete(call, timing, at);
  }
  return forecast;
};

const isNoLarger = (before: ForecastCall, call: ForecastCall): boolean =>
  before.route === call.route &&
  (before.outputTokens === undefined
    ? call.outputTokens === undefined
    : call.outputTokens !== undefined &&
      before.outputTokens <= call.outputTokens);

const anyCall = fc.record({
  route: fc.constantFrom('a', 'b', 'unknown'),
  outputTokens: fc.option(fc.integer({ min: 0, max: 300 }), {
    nil: undefined,
  }),
  leftMs: fc.integer({ min: -100, max: 60_000 }),
});

describe('SlowestRecentForecast', () => {
  it('is never below a recent duration of a call that is no larger, nor above the deadline', () => {
    fc.assert(
      fc.property(
        history,
        anyCall,
        fc.integer({ min: 0, max: 8_000 }),
        (samples, { leftMs, ...rest }, laterMs) => {
          const now = (samples.at(-1)?.at ?? 0) + laterMs;
          const call = { ...rest, deadlineAt: now + leftMs };
          const estimate = createForecast(samples).estimateDuration(call, now);
          const recent = samples
            .filter(({ at }) => at >= now - settings.windowMs)
            .filter(sample => isNoLarger(sample.call, call))
            .map(({ timing }) => timing.durationMs);
          const left = Math.max(0, leftMs);
          const longest = Math.max(0, ...recent);
          expect(estimate).toBeLessThanOrEqual(left);
          expect(estimate + 1e-6).toBeGreaterThanOrEqual(
            Math.min(left, longest),
          );
        },
      ),
      { seed: 23, numRuns: 500 },
    );
  });

  it('accepts with more time left what it accepts with less', () => {
    fc.assert(
      fc.property(
        history,
        anyCall,
        fc.integer({ min: 0, max: 30_000 }),
        fc.integer({ min: 0, max: 30_000 }),
        (samples, { leftMs, ...rest }, timeLeft, more) => {
          const now = samples.at(-1)?.at ?? 0;
          const call = { ...rest, deadlineAt: now + leftMs };
          const forecast = createForecast(samples);
          if (forecast.mayEndBy(call, now + timeLeft, now)) {
            expect(forecast.mayEndBy(call, now + timeLeft + more, now)).toBe(
              true,
            );
          }
        },
      ),
      { seed: 24, numRuns: 300 },
    );
  });

  it('expects a share of calls to end that grows with the time, and all of them by the deadline', () => {
    fc.assert(
      fc.property(
        history,
        anyCall,
        fc.integer({ min: 0, max: 30_000 }),
        fc.integer({ min: 0, max: 30_000 }),
        (samples, { leftMs, ...rest }, timeLeft, more) => {
          const now = samples.at(-1)?.at ?? 0;
          const call = { ...rest, deadlineAt: now + leftMs };
          const forecast = createForecast(samples);
          const share = forecast.estimateShareBy(call, now + timeLeft, now);
          const later = now + timeLeft + more;
          expect(share).toBeGreaterThanOrEqual(0);
          expect(
            forecast.estimateShareBy(call, later, now),
          ).toBeLessThanOrEqual(1);
          expect(
            forecast.estimateShareBy(call, later, now),
          ).toBeGreaterThanOrEqual(share);
          expect(forecast.estimateShareBy(call, call.deadlineAt, now)).toBe(1);
        },
      ),
      { seed: 26, numRuns: 300 },
    );
  });

  it('scales the durations of streams to the tokens that a stream may have', () => {
    const forecast = new SlowestRecentForecast(settings);
    const note = (durationMs: number, outputTokens: number): void => {
      const call = { route: 'a', outputTokens, deadlineAt: farDeadline };
      forecast.noteComplete(call, { durationMs, firstByteMs: 1 }, 0);
    };
    note(100, 10);
    note(300, 10);
    const call = { route: 'a', outputTokens: 20, deadlineAt: farDeadline };
    expect(forecast.estimateShareBy(call, 199, 0)).toBe(0);
    expect(forecast.estimateShareBy(call, 200, 0)).toBe(0.5);
    expect(forecast.estimateShareBy(call, 600, 0)).toBe(1);
  });

  it('is not shortened by open calls', () => {
    fc.assert(
      fc.property(history, history, anyCall, (samples, open, { ...call }) => {
        const now = samples.at(-1)?.at ?? 0;
        const asked = { ...call, deadlineAt: farDeadline };
        const forecast = createForecast(samples);
        const before = forecast.estimateDuration(asked, now);
        for (const each of open) {
          forecast.noteOpen(each.call, each.timing, now);
        }
        expect(forecast.estimateDuration(asked, now)).toBeGreaterThanOrEqual(
          before,
        );
      }),
      { seed: 25, numRuns: 300 },
    );
  });

  it('keeps a bounded number of values for any number of routes and calls', () => {
    const forecast = new SlowestRecentForecast(settings);
    for (let at = 0; at < 20_000; at += 7) {
      const route = `route-${String(at % 11)}`;
      const call = { route, outputTokens: at % 5, deadlineAt: farDeadline };
      forecast.noteComplete(call, { durationMs: at, firstByteMs: 1 }, at);
      forecast.noteComplete(
        { ...call, outputTokens: undefined },
        { durationMs: at, firstByteMs: undefined },
        at,
      );
      // Three maxima for each route, and at most eight slots for each maximum.
      const maxPerRoute = 3 * 8 + settings.maxDurations;
      expect(forecast.size).toBeLessThanOrEqual(
        settings.maxRoutes * maxPerRoute,
      );
    }
  });

  it('forgets durations that are older than its window', () => {
    const forecast = new SlowestRecentForecast(settings);
    const call = {
      route: 'a',
      outputTokens: undefined,
      deadlineAt: farDeadline,
    };
    const note = (durationMs: number, at: number): void => {
      forecast.noteComplete(call, { durationMs, firstByteMs: undefined }, at);
    };
    note(9_000, 0);
    note(100, 8_000);
    note(200, 8_001);
    expect(forecast.estimateDuration(call, 8_001)).toBe(200);
  });
});

describe('DeadlineForecast', () => {
  it('expects a call to take until its deadline', () => {
    const forecast = new DeadlineForecast();
    const call = { route: 'a', outputTokens: 1, deadlineAt: 1_500 };
    expect(forecast.estimateDuration(call, 1_000)).toBe(500);
    expect(forecast.mayEndBy(call, 1_499, 1_000)).toBe(false);
    expect(forecast.mayEndBy(call, 1_500, 1_000)).toBe(true);
    expect(forecast.estimateShareBy(call, 1_499)).toBe(0);
    expect(forecast.estimateShareBy(call, 1_500)).toBe(1);
  });
});
