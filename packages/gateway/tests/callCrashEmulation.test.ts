/** In emulated fleets, a call that crashes servers is refused in time, and a popular sound call never. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  BlameNobody,
  UnservedCall,
  UnservedPart,
  defaultCallThresholds,
} from '@lycheetally/decisions';
import { CallCrashEmulator, type CallScenario } from './callCrashEmulator.js';

const calm: CallScenario = {
  seed: 1,
  policy: new UnservedCall(),
  gateways: 3,
  servers: 3,
  durationMs: 20_000,
  deadlyPauseMs: 1_900,
  deadlyBurst: 1,
  runToCrashMs: 90,
  isRepeatable: true,
  hasNewIds: true,
  hotIntervalMs: 60,
  hotRunMs: 60,
  soundPerSecond: 10,
  maxNewsDelayMs: 500,
  newsLoss: 0,
  otherCrashes: [],
  resets: [],
  gatewayRestartMs: Infinity,
};

const run = (change: Partial<CallScenario>): CallCrashEmulator =>
  new CallCrashEmulator({ ...calm, ...change }).run();

/** Crashes of other causes: of single servers, of a rack, of all servers, and a release. */
const otherCrashes = fc.constantFrom(
  ...[
    { count: 8, intervalMs: 2_300, share: 0.2 },
    { count: 4, intervalMs: 4_300, share: 0.5 },
    { count: 4, intervalMs: 4_700, share: 1 },
    { count: 50, intervalMs: 300, share: 0.1 },
  ].map(({ count, intervalMs, share }) =>
    Array.from({ length: count }, (_, index) => ({
      at: 1_000 + index * intervalMs,
      share,
    })),
  ),
);

const fleet = {
  seed: fc.nat(100_000),
  servers: fc.constantFrom(2, 3, 6, 40),
  gateways: fc.constantFrom(1, 3, 20),
  maxNewsDelayMs: fc.integer({ min: 60, max: 500 }),
  isRepeatable: fc.boolean(),
};

describe('a call that crashes servers', () => {
  it('reaches few servers after the third crash, beside sound calls that are served', () => {
    const scenario = fc.record({
      ...fleet,
      deadlyPauseMs: fc.constantFrom(300, 700, 1_900, 5_000),
      deadlyBurst: fc.constantFrom(1, 1, 3),
      runToCrashMs: fc.integer({ min: 20, max: 250 }),
      hasNewIds: fc.boolean(),
    });
    fc.assert(
      fc.property(scenario, change => {
        const emulator = run(change);
        expect(emulator.lateSends).toBeLessThanOrEqual(3);
        expect(emulator.deadlyCrashes.length).toBeLessThanOrEqual(7);
        expect(emulator.soundRefused).toBe(0);
        expect(emulator.soundLost).toBeLessThan(emulator.soundCalls / 20);
      }),
      { seed: 43, numRuns: 60, endOnFailure: true },
    );
  });

  it('is tried at most twice, also by gateways that start anew', () => {
    const emulator = run({
      durationMs: 2_000_000,
      deadlyPauseMs: 20_000,
      gatewayRestartMs: 90_000,
      hotIntervalMs: Infinity,
      soundPerSecond: 0.1,
    });
    expect(emulator.deadlyCrashes.length).toBeGreaterThanOrEqual(3);
    expect(emulator.lateSends).toBeLessThanOrEqual(3);
  });

  it('goes on crashing servers if nobody is blamed, or by the rule for parts of prompts', () => {
    for (const policy of [new BlameNobody(), new UnservedPart()]) {
      const emulator = run({ policy, hasNewIds: false });
      expect(emulator.lateSends).toBeGreaterThan(3);
    }
  });
});

describe('crashes of other causes', () => {
  const scenario = fc.record({
    ...fleet,
    otherCrashes,
    resets: fc.array(fc.nat(20_000), { maxLength: 60 }),
    newsLoss: fc.constantFrom(0, 0.5),
    deadlyPauseMs: fc.constant(Infinity),
  });

  it('never lead to the refusal of a popular call', () => {
    fc.assert(
      fc.property(scenario, change => {
        expect(run(change).soundRefused).toBe(0);
      }),
      { seed: 44, numRuns: 60, endOnFailure: true },
    );
  });

  it('lead to refusals if the first crash is enough', () => {
    const policy = new UnservedCall({
      ...defaultCallThresholds,
      minCrashes: 1,
      minSteps: 1,
    });
    const [change] = fc.sample(scenario, { seed: 44, numRuns: 1 });
    const storm = [{ at: 1_000, share: 1 }];
    const emulator = run({ ...change, otherCrashes: storm, policy });
    expect(emulator.soundRefused).toBeGreaterThan(0);
  });
});
