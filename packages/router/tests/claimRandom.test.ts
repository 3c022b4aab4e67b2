/**
 * Random interleavings of claims on the real event loop, with fixed seeds.
 * Guards against a key that runs twice and against outcomes that contradict the
 * runs, under slow or lost log answers, log outages and restarts.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Outcome } from '@lycheetally/decisions';
import { ManualClock } from '../src/index.js';
import { ClaimEntry, FakeAgent, FatedLog, type Told } from './claimWorld.js';

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
  fates: fc.array(
    fc.record({
      delayMs: fc.constantFrom(1, 1, 30, 400, 1_500),
      isAnswerLost: fc.constantFrom(false, false, false, true),
    }),
    { minLength: 1, maxLength: 6 },
  ),
  workMs: fc.constantFrom(1, 200, 2_500),
  messageDelayMs: fc.constantFrom(1, 60, 1_800),
});

type Case = typeof caseArbitrary extends fc.Arbitrary<infer T> ? T : never;

interface World {
  readonly clock: ManualClock;
  readonly log: FatedLog;
  readonly agents: readonly FakeAgent[];
  readonly entries: readonly ClaimEntry[];
  readonly told: Told[];
}

const createWorld = (each: Case): World => {
  const clock = new ManualClock(1_000_000);
  const log = new FatedLog(clock, each.fates);
  const agents = ['s0', 's1'].map(
    name => new FakeAgent(name, clock, each.workMs),
  );
  const entries = ['e0', 'e1'].map(
    name => new ClaimEntry(name, clock, log, agents, each.messageDelayMs),
  );
  return { clock, log, agents, entries, told: [] };
};

const takeStep = (world: World, step: Case['steps'][number]): void => {
  const entry = world.entries[step.entry];
  switch (step.kind) {
    case 'call':
      if (entry?.isAlive) {
        world.told.push(entry.call(step.key, step.server));
      }
      return;
    case 'restartAgent':
      world.agents[step.server]?.restart();
      return;
    case 'killEntry':
      if (entry) {
        entry.isAlive = false;
      }
      return;
    case 'outage':
      world.log.isDown = true;
      world.clock.schedule(1_200, () => {
        world.log.isDown = false;
      });
  }
};

const runCase = async (each: Case): Promise<World> => {
  const world = createWorld(each);
  for (const step of each.steps) {
    world.clock.schedule(step.at, () => {
      takeStep(world, step);
    });
  }
  for (let time = 0; time < endMs; time += stepMs) {
    world.clock.advance(stepMs);
    // Lets the answers of the log reach the event loop.
    await Promise.resolve();
    await Promise.resolve();
  }
  return world;
};

const checkWorld = ({ agents, told }: World): void => {
  const runs = agents.flatMap(agent => agent.runs);
  for (const key of keys) {
    expect(runs.filter(run => run.key === key).length).toBeLessThanOrEqual(1);
  }
  for (const call of told) {
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

const countOutcomes = (told: readonly Told[], counts: Map<string, number>) => {
  for (const { outcome } of told) {
    const name = outcome ?? 'none';
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
};

describe('claims under random faults', () => {
  it.each([11, 12, 13, 14])(
    'run each key at most once and tell the truth, seed %i',
    async seed => {
      const counts = new Map<string, number>();
      await fc.assert(
        fc.asyncProperty(caseArbitrary, async each => {
          const world = await runCase(each);
          checkWorld(world);
          countOutcomes(world.told, counts);
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
