/** Gateways together keep the limits of servers, whatever they know of each other. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  EqualLimitShare,
  RotatingLimitShare,
  type LimitShare,
} from '../src/index.js';
import { runLimits, type LimitScenario } from './limitEmulator.js';

/** Requests that a server may get within 4 s. */
const computeAllowed = (limitPerSecond: number): number =>
  1.5 * 4 * limitPerSecond + 5;

const sound = {
  demand: 2,
  unknownShare: 0,
  areTold: true,
  clockErrorMs: 0,
  seed: 1,
  createShare: () => new RotatingLimitShare(),
};

describe('gateways that share the limits of servers', () => {
  it('keep each limit with views that are wrong', () => {
    const scenario = fc.record({
      gateways: fc.integer({ min: 1, max: 40 }),
      servers: fc.integer({ min: 1, max: 6 }),
      limitPerSecond: fc.oneof(
        fc.double({ min: 0, max: 2, noNaN: true }),
        fc.double({ min: 2, max: 60, noNaN: true }),
      ),
      demand: fc.double({ min: 0.5, max: 4, noNaN: true }),
      unknownShare: fc.constantFrom(0, 0.05, 0.1),
      areTold: fc.boolean(),
      clockErrorMs: fc.constantFrom(0, 500),
      seed: fc.nat(),
    });
    fc.assert(
      fc.property(scenario, drawn => {
        const result = runLimits({ ...sound, ...drawn });
        expect(result.mostInWindow).toBeLessThanOrEqual(
          computeAllowed(drawn.limitPerSecond),
        );
      }),
      { numRuns: 60, seed: 28 },
    );
  });

  const sizes: readonly (readonly [string, Partial<LimitScenario>])[] = [
    ['4 gateways', { gateways: 4, servers: 3, limitPerSecond: 10.9 }],
    ['68 gateways', { gateways: 68, servers: 60, limitPerSecond: 10.9 }],
    ['800 gateways', { gateways: 800, servers: 32, limitPerSecond: 60 }],
  ];

  it.each(sizes)('use the limits when calls are waiting, %s', (_, size) => {
    const scenario = { ...sound, gateways: 4, servers: 3, ...size };
    const limitPerSecond = scenario.limitPerSecond ?? 0;
    const result = runLimits({ ...scenario, limitPerSecond });
    expect(result.mostInWindow).toBeLessThanOrEqual(
      computeAllowed(limitPerSecond),
    );
    expect(result.use).toBeGreaterThan(0.9);
  });

  it('leave a low limit of a large fleet unused with equal parts', () => {
    const large = { gateways: 400, servers: 8, limitPerSecond: 5 };
    const createShare = (): LimitShare => new EqualLimitShare();
    expect(runLimits({ ...sound, ...large, createShare }).use).toBeLessThan(
      0.1,
    );
  });
});
