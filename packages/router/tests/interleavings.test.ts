/** The loops of a whole system under random orders of what may happen. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { checkHistory } from '@lycheetally/testkit';
import { FakeSystem } from './fakeSystem.js';

const seed = 20_250;
const cases = 1_000;
const maxSteps = 120;

const number = fc.nat({ max: 1_000 });

/** One thing that happens next. */
const step = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({ kind: fc.constant('deliver'), number }),
  },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('compute'), number }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('advance'), number }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('call'), number }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut'), number }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('silence'), number }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart'), number }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave'), number }) },
);

interface Step {
  readonly kind: string;
  readonly number: number;
}

const runStep = async (system: FakeSystem, next: Step): Promise<void> => {
  const actions: Record<string, (value: number) => Promise<void> | void> = {
    deliver: value => {
      system.deliver(value);
    },
    compute: value => {
      system.compute(value);
    },
    advance: value => {
      system.clock.advance(value);
    },
    call: value => {
      system.addCall(value);
    },
    cut: value => {
      system.cut(value);
    },
    silence: value => {
      system.silence(value);
    },
    restart: value => system.restart(value),
    leave: value => {
      system.endCaller(value);
    },
  };
  await actions[next.kind]?.(next.number);
};

const runSystem = async (steps: readonly Step[]): Promise<FakeSystem> => {
  const system = new FakeSystem();
  await system.start();
  for (const next of steps) {
    await runStep(system, next);
  }
  system.settle();
  return system;
};

describe('a system in memory', () => {
  it('answers a completion and a booking', async () => {
    const steps = [1, 3].map(value => ({ kind: 'call', number: value }));
    const system = await runSystem(steps);
    const history = system.readHistory();
    expect(history.calls.map(call => call.answer?.outcome)).toEqual([
      'complete',
      'complete',
    ]);
    expect(checkHistory(history)).toEqual([]);
  });

  it('keeps its promises in any order of events', async () => {
    const steps = fc.array(step, { maxLength: maxSteps, size: 'max' });
    await fc.assert(
      fc.asyncProperty(steps, async list => {
        const system = await runSystem(list);
        expect(system.faults).toEqual([]);
        expect(system.countDoubledEnds()).toBe(0);
        expect(checkHistory(system.readHistory())).toEqual([]);
      }),
      { seed, numRuns: cases },
    );
  });
});
