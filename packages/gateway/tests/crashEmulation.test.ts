/** In emulated fleets, parts that crash servers are refused in time, and sound parts never. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  BlameNobody,
  UnservedPart,
  defaultBlameThresholds,
} from '@lycheetally/decisions';
import { CrashEmulator, type Scenario } from './crashEmulator.js';

const calm: Scenario = {
  seed: 1,
  gateways: 5,
  servers: 40,
  requestsPerSecond: 60,
  share: 0.05,
  deadlyParts: [],
  deadlyFromMs: 0,
  deadlyPosition: 1,
  durationMs: 9_000,
  maxNewsDelayMs: 500,
  newsLoss: 0,
  otherCrashes: [],
};

const deadly: Scenario = { ...calm, deadlyParts: ['bad'] };

/** The whole fleet crashes as soon as it is back. */
const outages = [1_000, 4_900, 8_800].map(at => ({ at, share: 1 }));

const run = (change: Partial<Scenario>): CrashEmulator =>
  new CrashEmulator({ ...deadly, ...change }).run();

const countWronglyRefused = (
  change: Partial<Scenario>,
  policy: UnservedPart,
): number =>
  [1, 2, 3, 4]
    .map(seed => run({ ...change, seed, policy }).wronglyRefused.size)
    .reduce((sum, count) => sum + count, 0);

const news = {
  maxNewsDelayMs: fc.integer({ min: 60, max: 500 }),
  newsLoss: fc.constantFrom(0, 0, 0.5),
};

describe('crashes of other causes', () => {
  it('lead to no refusals, alone or together, in any part of the fleet', () => {
    const otherCrashes = fc.array(
      fc.record({
        at: fc.nat(9_000),
        share: fc.constantFrom(0.03, 0.03, 0.1, 0.3),
      }),
      { minLength: 3, maxLength: 24 },
    );
    const outage = fc.record({
      at: fc.nat(9_000),
      share: fc.constantFrom(0.6, 1),
    });
    const scenario = fc.record({
      ...news,
      seed: fc.nat(100_000),
      gateways: fc.integer({ min: 1, max: 6 }),
      requestsPerSecond: fc.integer({ min: 40, max: 100 }),
      otherCrashes: fc
        .tuple(otherCrashes, outage)
        .map(([single, common]) => [...single, common]),
    });
    fc.assert(
      fc.property(scenario, change => {
        const emulator = run({ ...change, deadlyParts: [] });
        expect([...emulator.wronglyRefused]).toEqual([]);
      }),
      { seed: 21, numRuns: 60, endOnFailure: true },
    );
  });

  it('lead to no refusals while most of the fleet crashes again and again', () => {
    const scenario = fc.record({
      ...news,
      seed: fc.nat(100_000),
      gateways: fc.integer({ min: 1, max: 6 }),
      requestsPerSecond: fc.integer({ min: 10, max: 100 }),
      otherCrashes: fc.array(
        fc.record({
          at: fc.nat(9_000),
          share: fc.constantFrom(0.03, 0.03, 0.1, 0.3, 0.6, 1),
        }),
        { minLength: 3, maxLength: 24 },
      ),
    });
    fc.assert(
      fc.property(scenario, change => {
        const emulator = run({ ...change, deadlyParts: [] });
        expect([...emulator.wronglyRefused]).toEqual([]);
      }),
      { seed: 21, numRuns: 200, endOnFailure: true },
    );
  });

  it('lead to refusals if crashes count while no answers are written', () => {
    const change = {
      deadlyParts: [],
      requestsPerSecond: 100,
      durationMs: 14_000,
      otherCrashes: outages,
    };
    const careless = new UnservedPart({
      ...defaultBlameThresholds,
      maxPauseMs: Infinity,
      minPresence: 0,
    });
    expect(countWronglyRefused(change, careless)).toBeGreaterThan(0);
    expect(countWronglyRefused(change, new UnservedPart())).toBe(0);
  });

  it('lead to refusals if the crashes of one moment count separately', () => {
    const change = {
      deadlyParts: [],
      requestsPerSecond: 100,
      durationMs: 14_000,
      otherCrashes: outages,
    };
    const careless = new UnservedPart({
      ...defaultBlameThresholds,
      momentMs: 0,
    });
    expect(countWronglyRefused(change, careless)).toBeGreaterThan(0);
  });
});

describe('a part that crashes servers', () => {
  it('is refused in time, at any share, and nothing else is', () => {
    const scenario = fc.record({
      ...news,
      seed: fc.nat(100_000),
      gateways: fc.constantFrom(1, 2, 5, 12),
      requestsPerSecond: fc.integer({ min: 20, max: 80 }),
      share: fc.constantFrom(0.02, 0.05, 0.1, 0.2),
      deadlyPosition: fc.constantFrom<(0 | 1)[]>(0, 1),
      deadlyParts: fc.constantFrom<string[][]>(
        ['bad'],
        ['bad'],
        ['bad', 'worse'],
      ),
      // Sound and popular at first.
      deadlyFromMs: fc.constantFrom(0, 0, 3_000),
      otherCrashes: fc.array(
        fc.record({ at: fc.nat(9_000), share: fc.constantFrom(0.03, 0.1) }),
        { maxLength: 6 },
      ),
    });
    fc.assert(
      fc.property(scenario, change => {
        const emulator = run(change);
        for (const part of change.deadlyParts) {
          const perSecond = change.requestsPerSecond * change.share;
          expect(emulator.countLate(part)).toBeLessThanOrEqual(3);
          expect(emulator.crashes.get(part)?.length ?? 0).toBeLessThanOrEqual(
            10 + 2 * perSecond,
          );
        }
        expect([...emulator.wronglyRefused]).toEqual([]);
        const refused = emulator.soundRefused.length;
        expect(refused).toBeLessThanOrEqual(emulator.soundSent.length / 50);
      }),
      { seed: 22, numRuns: 60, endOnFailure: true },
    );
  });

  it('is refused in time by 68 gateways that each see few calls', () => {
    const emulator = run({ gateways: 68, share: 0.02, durationMs: 7_000 });
    expect(emulator.countLate('bad')).toBeLessThanOrEqual(3);
    expect([...emulator.wronglyRefused]).toEqual([]);
  });

  it('is found again when all gateways lose what they know', () => {
    for (const seed of [1, 2, 3]) {
      const restartAtMs = 4_000;
      const emulator = run({ seed, restartAtMs });
      const late = emulator.sent
        .get('bad')
        ?.filter(at => at > restartAtMs + 3_000);
      expect(late?.length).toBeLessThanOrEqual(3);
    }
  });

  it('goes on crashing servers if nobody is blamed', () => {
    const emulator = run({ policy: new BlameNobody() });
    expect(emulator.countLate('bad')).toBeGreaterThan(3);
  });
});
