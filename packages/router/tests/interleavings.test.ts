/** Property test of a whole system in memory under random orders of events. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { MessageKind } from '@lycheetally/protocol';
import { checkHistory } from '@lycheetally/testkit';
import { FakeSystem } from './fakeSystem.js';

const seed = 20_250;
const cases = 1_000;
const maxSteps = 120;
/** Leaves room for a busy machine. */
const timeoutMs = 300_000;
/** Number of agents of the fake system that serve engines. */
const agentCount = 4;
const deliveryRounds = 10;
const deliveryRoundMs = 10;

const number = fc.nat({ max: 1_000 });

/** A random step; its number selects what the step acts on. */
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
  system.runUntilAnswered();
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

  // Guards against a call that is started after the departure of its caller was handled.
  it('does not run a call whose caller has left before it is taken', async () => {
    const system = new FakeSystem();
    await system.start();
    system.addAbandonedCall(1);
    system.runUntilAnswered();
    const history = system.readHistory();
    expect(history.calls[0]?.answer?.outcome).toBe('not-run');
    expect(history.passes).toEqual([]);
  });

  it('does not repeat an answer of which only the final message is missing', async () => {
    const system = new FakeSystem();
    await system.start();
    system.wire.dropKinds(MessageKind.Finished);
    system.addCall(1);
    // An agent holds tokens back briefly, so that several share a frame.
    for (let round = 0; round < deliveryRounds; round += 1) {
      system.runAll();
      system.clock.advance(deliveryRoundMs);
    }
    expect(system.isEveryCallAnswered).toBe(false);
    for (let agent = 0; agent < agentCount; agent += 1) {
      await system.restart(agent);
    }
    system.runUntilAnswered();
    const history = system.readHistory();
    expect(history.calls[0]?.answer?.outcome).toBe('complete');
    expect(checkHistory(history)).toEqual([]);
    expect(new Set(history.passes.map(pass => pass.epoch))).toEqual(
      new Set([1]),
    );
  });

  it(
    'keeps its guarantees in any order of events',
    async () => {
      const steps = fc.array(step, { maxLength: maxSteps, size: 'max' });
      await fc.assert(
        fc.asyncProperty(steps, async list => {
          const system = await runSystem(list);
          expect(system.errors).toEqual([]);
          expect(system.countRepeatedEnds()).toBe(0);
          expect(checkHistory(system.readHistory())).toEqual([]);
        }),
        { seed, numRuns: cases },
      );
    },
    timeoutMs,
  );
});
