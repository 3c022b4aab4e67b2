/** A stopping gateway takes no call that probably outlasts it: open calls count, and what is unknown does not end. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  DeadlineForecast,
  SurvivalForecast,
  type DurationEstimate,
  type ForecastCall,
} from '../src/index.js';

const settings = {
  windowMs: 6_000,
  maxKinds: 3,
  minSamples: 2,
  minSlowestSamples: 2,
  sizeExponent: 1,
  factor: 1,
  extraMs: 0,
};

/** Durations are rounded up to the next bucket. */
const rounding = 1.1;
const farDeadline = 1e12;

interface Life {
  readonly kind: string;
  readonly expectedSize: number;
  readonly openedAt: number;
  readonly durationMs: number;
  readonly isComplete: boolean;
}

const toCall = (life: Life): ForecastCall => ({
  ...life,
  deadlineAt: farDeadline,
});

/** Calls in the order in which they were opened. */
const history = fc
  .array(
    fc.record({
      kind: fc.constantFrom('a', 'b'),
      expectedSize: fc.integer({ min: 1, max: 9 }),
      openedAt: fc.integer({ min: 0, max: 9_000 }),
      durationMs: fc.integer({ min: 1, max: 8_000 }),
      isComplete: fc.boolean(),
    }),
    { maxLength: 40 },
  )
  .map(lives => lives.sort((a, b) => a.openedAt - b.openedAt));

/** Notes each call, and its end if that is not later than now. */
const createForecast = (
  lives: readonly Life[],
  now: number,
): SurvivalForecast => {
  const forecast = new SurvivalForecast(settings);
  for (const life of lives) {
    const noteEnd = forecast.noteOpened(toCall(life), life.openedAt);
    const endsAt = life.openedAt + life.durationMs;
    if (endsAt <= now) {
      noteEnd(life.isComplete, endsAt);
    }
  }
  return forecast;
};

const anyCall = fc.record({
  kind: fc.constantFrom('a', 'b', 'unknown'),
  expectedSize: fc.integer({ min: 1, max: 9 }),
  leftMs: fc.integer({ min: -100, max: 60_000 }),
});

const now = 9_000;

const estimate = (
  lives: readonly Life[],
  call: ForecastCall,
  timeLeft: number,
): DurationEstimate =>
  createForecast(lives, now).estimateBy(call, now + timeLeft, now);

describe('SurvivalForecast', () => {
  it('is never below the age of a recent call that is no larger, open or ended, nor above the deadline', () => {
    fc.assert(
      fc.property(history, anyCall, (lives, { leftMs, ...rest }) => {
        const call = { ...rest, deadlineAt: now + leftMs };
        const longest = lives
          .filter(({ kind, expectedSize, openedAt }) => {
            const isAlike =
              kind === call.kind && expectedSize <= call.expectedSize;
            return isAlike && openedAt > now - settings.windowMs;
          })
          .map(({ openedAt, durationMs }) =>
            Math.min(durationMs, now - openedAt),
          );
        const left = Math.max(0, leftMs);
        const { slowestMs } = estimate(lives, call, 0);
        expect(slowestMs).toBeLessThanOrEqual(left);
        expect(slowestMs + 1e-6).toBeGreaterThanOrEqual(
          Math.min(left, Math.max(0, ...longest)),
        );
      }),
      { seed: 23, numRuns: 500 },
    );
  });

  it('expects a share of calls to end that grows with the time, and all of them by the deadline', () => {
    const time = fc.integer({ min: 0, max: 30_000 });
    fc.assert(
      fc.property(
        history,
        anyCall,
        time,
        time,
        (lives, { leftMs, ...rest }, timeLeft, more) => {
          const call = { ...rest, deadlineAt: now + leftMs };
          const { share } = estimate(lives, call, timeLeft);
          const later = estimate(lives, call, timeLeft + more).share;
          expect(share).toBeGreaterThanOrEqual(0);
          expect(later).toBeGreaterThanOrEqual(share);
          expect(later).toBeLessThanOrEqual(1);
          expect(estimate(lives, call, leftMs).share).toBe(1);
        },
      ),
      { seed: 24, numRuns: 300 },
    );
  });

  it('expects fewer calls to end when more are open', () => {
    fc.assert(
      fc.property(
        history,
        anyCall,
        fc.integer({ min: 1, max: 6_000 }),
        fc.integer({ min: 0, max: 30_000 }),
        (lives, { ...rest }, ageMs, timeLeft) => {
          const call = { ...rest, deadlineAt: farDeadline };
          const before = estimate(lives, call, timeLeft).share;
          const open = {
            ...rest,
            openedAt: now - ageMs,
            durationMs: 1e9,
            isComplete: false,
          };
          const after = estimate([...lives, open], call, timeLeft).share;
          expect(after).toBeLessThanOrEqual(before + 1e-9);
        },
      ),
      { seed: 25, numRuns: 300 },
    );
  });

  const makeLives = (
    durations: readonly number[],
    life: Partial<Life> = {},
  ): Life[] =>
    durations.map(durationMs => ({
      kind: 'a',
      expectedSize: 1,
      openedAt: 4_000,
      durationMs,
      isComplete: true,
      ...life,
    }));
  const anyOf = { kind: 'a', expectedSize: 1, deadlineAt: farDeadline };

  it('is the product of the shares that survive each ending, as in a worked example', () => {
    const lives = [
      ...makeLives([100, 300, 900]),
      ...makeLives([200, 500], { isComplete: false }),
    ];
    const getShare = (limit: number): number =>
      estimate(lives, anyOf, limit * rounding).share;
    expect(getShare(100)).toBeCloseTo(1 / 5);
    expect(getShare(300)).toBeCloseTo(1 - (4 / 5) * (2 / 3));
    expect(getShare(900)).toBe(1);
  });

  it('knows nothing of the share from too few calls that ended', () => {
    const lives = [...makeLives([100]), ...makeLives([9_000, 9_000])];
    expect(estimate(lives, anyOf, 5_000)).toEqual({
      slowestMs: farDeadline - now,
      share: 0,
      samples: 1,
    });
  });

  it('does not expect what lasts longer than anything it saw to end', () => {
    const lives = [...makeLives([1_000, 1_000]), ...makeLives([9_000, 9_000])];
    expect(estimate(lives, anyOf, 1_100).share).toBe(0.5);
    expect(estimate(lives, anyOf, 60_000).share).toBe(0.5);
  });

  it('scales the durations to the expected size', () => {
    const lives = makeLives([100, 300], { expectedSize: 10 });
    const call = { ...anyOf, expectedSize: 20 };
    expect(estimate(lives, call, 199).share).toBe(0);
    expect(estimate(lives, call, 200 * rounding).share).toBe(0.5);
    expect(estimate(lives, call, 600 * rounding).share).toBe(1);
  });

  it('forgets calls that were opened before its window', () => {
    const lives = [
      ...makeLives([1_500, 1_500], { openedAt: 0 }),
      ...makeLives([100, 200]),
    ];
    expect(estimate(lives, anyOf, 0).samples).toBe(2);
    expect(estimate(lives, anyOf, 0).slowestMs).toBeLessThan(200 * rounding);
  });

  it('keeps a bounded number of values for any number of kinds and calls', () => {
    const forecast = new SurvivalForecast(settings);
    for (let at = 0; at < 20_000; at += 7) {
      const kind = `kind-${String(at % 11)}`;
      const call = { kind, expectedSize: 1 + (at % 5), deadlineAt: 1e12 };
      forecast.noteOpened(call, at)(at % 2 === 0, at * 1.5);
      // At most eight slots for each kind, and as many buckets as fit between 1 ms and 20 s.
      expect(forecast.size).toBeLessThanOrEqual(settings.maxKinds * 8 * 105);
    }
  });
});

describe('DeadlineForecast', () => {
  it('expects a call to take until its deadline', () => {
    const forecast = new DeadlineForecast();
    const call = { kind: 'a', expectedSize: 1, deadlineAt: 1_500 };
    const before = forecast.estimateBy(call, 1_499, 1_000);
    expect(before).toEqual({ slowestMs: 500, share: 0, samples: 0 });
    expect(forecast.estimateBy(call, 1_500, 1_000).share).toBe(1);
  });
});
