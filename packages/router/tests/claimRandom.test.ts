/**
 * Random interleavings of claims on the real event loop, with fixed seeds.
 * Guards against a key that runs twice and against outcomes that contradict the
 * runs, under slow or lost log answers, log outages and restarts.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Outcome } from '@lycheetally/decisions';
import { ManualClock } from '../src/index.js';
import {
  SimulatedEntry,
  FakeAgent,
  FaultyLog,
  type CallResult,
} from './claimSimulation.js';

const keys = ['a', 'b'];
const endMs = 16_000;
const stepMs = 25;

const stepArbitrary = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('call' as const),
      at: fc.integer({ min: 0, max: 6_000 }),
      entry: fc.nat(1),
      key: fc.constantFrom(...keys),
      server: fc.nat(1),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'restartAgent' as const,
        'killEntry' as const,
        'outage' as const,
      ),
      at: fc.integer({ min: 0, max: 6_000 }),
      entry: fc.nat(1),
      key: fc.constant('a'),
      server: fc.nat(1),
    }),
  },
);

const caseArbitrary = fc.record({
  steps: fc.array(stepArbitrary, { minLength: 2, maxLength: 9 }),
  faults: fc.array(
    fc.record({
      delayMs: fc.constantFrom(1, 1, 30, 400, 1_500),
      isAnswerLost: fc.constantFrom(false, false, false, true),
    }),
    { minLength: 1, maxLength: 6 },
  ),
  workMs: fc.constantFrom(1, 200, 2_500),
  messageDelayMs: fc.constantFrom(1, 60, 1_800),
});

type TestCase = typeof caseArbitrary extends fc.Arbitrary<infer T> ? T : never;

interface Simulation {
  readonly clock: ManualClock;
  readonly log: FaultyLog;
  readonly agents: readonly FakeAgent[];
  readonly entries: readonly SimulatedEntry[];
  readonly results: CallResult[];
}

const createSimulation = (testCase: TestCase): Simulation => {
  const clock = new ManualClock(1_000_000);
  const log = new FaultyLog(clock, testCase.faults);
  const agents = ['s0', 's1'].map(
    name => new FakeAgent(name, clock, testCase.workMs),
  );
  const entries = ['e0', 'e1'].map(
    name =>
      new SimulatedEntry(name, clock, log, agents, testCase.messageDelayMs),
  );
  return { clock, log, agents, entries, results: [] };
};

const takeStep = (
  simulation: Simulation,
  step: TestCase['steps'][number],
): void => {
  const entry = simulation.entries[step.entry];
  switch (step.kind) {
    case 'call':
      if (entry?.isAlive) {
        simulation.results.push(entry.call(step.key, step.server));
      }
      return;
    case 'restartAgent':
      simulation.agents[step.server]?.restart();
      return;
    case 'killEntry':
      if (entry) {
        entry.isAlive = false;
      }
      return;
    case 'outage':
      simulation.log.isDown = true;
      simulation.clock.schedule(1_200, () => {
        simulation.log.isDown = false;
      });
  }
};

const runCase = async (testCase: TestCase): Promise<Simulation> => {
  const simulation = createSimulation(testCase);
  for (const step of testCase.steps) {
    simulation.clock.schedule(step.at, () => {
      takeStep(simulation, step);
    });
  }
  for (let time = 0; time < endMs; time += stepMs) {
    simulation.clock.advance(stepMs);
    // Lets the answers of the log reach the event loop.
    await Promise.resolve();
    await Promise.resolve();
  }
  return simulation;
};

const checkOutcomes = ({ agents, results }: Simulation): void => {
  const runs = agents.flatMap(agent => agent.runs);
  for (const key of keys) {
    expect(runs.filter(run => run.key === key).length).toBeLessThanOrEqual(1);
  }
  for (const call of results) {
    const run = runs.find(each => each.key === call.key);
    if (call.outcome === Outcome.Complete) {
      expect(call.text).toBe(run?.claimId);
    }
    if (call.entry.isAlive && call.claimIds.length === 0) {
      expect(call.outcome).toBeDefined();
    }
    if (call.outcome === Outcome.NotRun) {
      expect(call.claimIds).not.toContain(run?.claimId);
    }
  }
};

const countOutcomes = (
  results: readonly CallResult[],
  counts: Map<string, number>,
) => {
  for (const { outcome } of results) {
    const name = outcome ?? 'none';
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
};

describe('claims under random faults', () => {
  it.each([11, 12, 13, 14])(
    'run each key at most once and report true outcomes, seed %i',
    async seed => {
      const counts = new Map<string, number>();
      await fc.assert(
        fc.asyncProperty(caseArbitrary, async testCase => {
          const simulation = await runCase(testCase);
          checkOutcomes(simulation);
          countOutcomes(simulation.results, counts);
        }),
        { seed, numRuns: 500 },
      );
      // Guards against generated cases that no longer reach every outcome.
      expect([...counts.keys()]).toEqual(
        expect.arrayContaining(['complete', 'not-run', 'unknown']),
      );
    },
  );
});
