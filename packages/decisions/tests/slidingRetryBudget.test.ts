/** The retries of all gateways together stay within the budget in each sliding window. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { SlidingRetryBudget, type RequestView } from '../src/index.js';

const settings = { ratio: 0.2, slack: 40, windowMs: 10_000 };

const request: RequestView = {
  requestId: 'r',
  account: 'a',
  rank: '0',
  service: 's',
  deadlineAt: Infinity,
  isRepeatable: true,
  attempts: 1,
  avoided: [],
};

describe('SlidingRetryBudget', () => {
  it('keeps the retries of all gateways within the budget for any arrival pattern', () => {
    const arrivals = fc.array(
      fc.record({ gateway: fc.nat(2), afterMs: fc.nat(60) }),
      { minLength: 100, maxLength: 800 },
    );
    fc.assert(
      fc.property(arrivals, calls => {
        const gateways = [0, 1, 2].map(() => new SlidingRetryBudget(settings));
        gateways.forEach(gateway => {
          gateway.setShare(1 / 3, -settings.windowMs - 1);
        });
        const sent: { at: number; isRepeat: boolean }[] = [];
        let now = 0;
        for (const call of calls) {
          now += call.afterMs;
          const gateway = gateways[call.gateway];
          gateway?.noteRequest(request, now);
          sent.push({ at: now, isRepeat: false });
          if (gateway?.mayRetry(request, now)) {
            gateway.noteRetry(request, now);
            sent.push({ at: now, isRepeat: true });
          }
          const recent = sent.filter(({ at }) => at >= now - settings.windowMs);
          const repeats = recent.filter(({ isRepeat }) => isRepeat).length;
          const allowed =
            settings.ratio * (recent.length - repeats) + settings.slack;
          expect(repeats).toBeLessThanOrEqual(allowed);
        }
      }),
      { seed: 3, numRuns: 40 },
    );
  });

  it('applies an increased share only after a full window', () => {
    const budget = new SlidingRetryBudget({ ...settings, ratio: 0 });
    budget.setShare(0.25, -settings.windowMs - 1);
    budget.setShare(0.5, 0);
    expect(budget.countRemaining('s', 100)).toBeCloseTo(40 * 0.25 * 0.85);
    budget.setShare(0.1, 200);
    expect(budget.countRemaining('s', 300)).toBeCloseTo(40 * 0.1 * 0.85);
    const later = 300 + settings.windowMs;
    expect(budget.countRemaining('s', later)).toBeCloseTo(40 * 0.1 * 0.85);
    budget.setShare(0.3, later);
    expect(budget.countRemaining('s', later + 100)).toBeCloseTo(
      40 * 0.1 * 0.85,
    );
    expect(
      budget.countRemaining('s', later + settings.windowMs + 1),
    ).toBeCloseTo(40 * 0.3 * 0.85);
  });

  it('allows no retries in addition to the ratio before the share is known', () => {
    const budget = new SlidingRetryBudget(settings);
    expect(budget.mayRetry(request, 0)).toBe(false);
  });

  it('counts each service separately', () => {
    const budget = new SlidingRetryBudget({ ...settings, ratio: 0, slack: 2 });
    budget.setShare(1, -settings.windowMs - 1);
    budget.noteRetry(request, 0);
    expect(budget.mayRetry(request, 0)).toBe(false);
    expect(budget.mayRetry({ ...request, service: 'other' }, 0)).toBe(true);
    expect(budget.mayRetry(request, settings.windowMs + 1)).toBe(true);
  });
});
