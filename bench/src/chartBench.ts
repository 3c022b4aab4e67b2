/** Measures the time of a state chart transition, compared with XState. */
import {
  ChartMachine,
  ChartTimers,
  compileChart,
  type ChartEvent,
} from '@lycheetally/charts';
import type { Disposable } from '@lycheetally/common';
import { createMachine, initialTransition, transition } from 'xstate';
import { Bench, type BenchOptions } from './types.js';

const transitions = 2_000_000;
const xstateTransitions = 50_000;
const microsecondsPerSecond = 1_000_000;

const definition = {
  id: 'ring',
  initial: 'one',
  meta: { events: ['NEXT'] },
  states: {
    one: { entry: 'count', on: { NEXT: 'two' } },
    two: {
      entry: 'count',
      on: { NEXT: [{ guard: 'mayGo', target: 'three' }] },
    },
    three: { entry: 'count', on: { NEXT: 'one' } },
  },
};

class NoopTimers extends ChartTimers {
  override schedule(): Disposable {
    return { dispose: () => undefined };
  }
}

const measureOurs = (): number => {
  const chart = compileChart('ring', JSON.stringify(definition)).unwrap();
  const context = { count: 0 };
  const machine = ChartMachine.bind<typeof context, ChartEvent>(chart, {
    actions: {
      count: each => {
        each.count += 1;
      },
    },
    guards: { mayGo: () => true },
    delays: {},
  }).unwrap();
  const instance = machine.createInstance(context, new NoopTimers());
  instance.start(0);
  const event = { type: 'NEXT' };
  const startedAt = process.hrtime.bigint();
  for (let index = 0; index < transitions; index += 1) {
    instance.send(event, index);
  }
  return computeMicroseconds(startedAt, transitions);
};

const measureXstate = (): number => {
  const { meta: _, ...machineDefinition } = definition;
  const machine = createMachine(machineDefinition as never, {
    actions: { count: () => undefined },
    guards: { mayGo: () => true },
  });
  let [snapshot] = initialTransition(machine);
  const startedAt = process.hrtime.bigint();
  for (let index = 0; index < xstateTransitions; index += 1) {
    [snapshot] = transition(machine, snapshot, { type: 'NEXT' });
  }
  return computeMicroseconds(startedAt, xstateTransitions);
};

const computeMicroseconds = (startedAt: bigint, count: number): number =>
  (Number(process.hrtime.bigint() - startedAt) / 1e9 / count) *
  microsecondsPerSecond;

export class ChartBench extends Bench {
  override readonly name = 'chart';
  override readonly summary =
    'microseconds per chart transition, compared with XState';
  override readonly unit = 'µs/transition';

  protected override measure({ report }: BenchOptions): Promise<{
    baseline: number;
    ours: number;
  }> {
    report('Running a chart of three states in both interpreters');
    measureOurs();
    const ours = measureOurs();
    return Promise.resolve({ baseline: measureXstate(), ours });
  }
}
