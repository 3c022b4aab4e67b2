/** Compares the interpreter with XState on random charts. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createMachine, initialTransition, transition } from 'xstate';
import type { Disposable } from '@lycheetally/common';
import {
  ChartMachine,
  ChartTimers,
  compileChart,
  type ChartEvent,
} from '../src/index.js';

const events = ['A', 'B', 'C'];
const leafNames = ['one', 'two', 'three'];
const targets = [...leafNames, 'group'].map(name => `#random.${name}`);
const nestedTargets = [
  ...targets,
  '#random.group.inner',
  '#random.group.other',
];

class NoTimers extends ChartTimers {
  override schedule(): Disposable {
    return { dispose: () => undefined };
  }
}

const transitionArbitrary = fc.record(
  {
    target: fc.constantFrom(...nestedTargets),
    guard: fc.constantFrom('isEven', 'isOdd'),
    actions: fc.constantFrom(['count'], ['mark'], ['mark', 'count']),
    reenter: fc.boolean(),
  },
  { requiredKeys: [] },
);

const onArbitrary = fc.dictionary(
  fc.constantFrom(...events),
  fc.array(transitionArbitrary, { minLength: 1, maxLength: 2 }),
);

const createStateArbitrary = (name: string): fc.Arbitrary<object> =>
  onArbitrary.map(on => ({ on, entry: `enter_${name}`, exit: `exit_${name}` }));

const chartArbitrary = fc
  .record({
    one: createStateArbitrary('one'),
    two: createStateArbitrary('two'),
    three: createStateArbitrary('three'),
    inner: createStateArbitrary('inner'),
    other: createStateArbitrary('other'),
    group: createStateArbitrary('group'),
    rootOn: onArbitrary,
  })
  .map(({ one, two, three, inner, other, group, rootOn }) => ({
    id: 'random',
    initial: 'one',
    on: rootOn,
    states: {
      one,
      two,
      three,
      group: { ...group, initial: 'inner', states: { inner, other } },
    },
  }));

const stateNames = ['one', 'two', 'three', 'inner', 'other', 'group'];
const actionNames = [
  'count',
  'mark',
  ...stateNames.flatMap(name => [`enter_${name}`, `exit_${name}`]),
];

interface Trace {
  readonly state: string;
  readonly actions: string[];
}

// A chart with an unreachable state does not compile, so the event REACH targets
// every state behind a guard that is never true.
const declareEvents = (chart: object): string =>
  JSON.stringify({
    ...chart,
    on: {
      ...(chart as { on: object }).on,
      REACH: nestedTargets.map(target => ({ guard: 'isNever', target })),
    },
    meta: { events: [...events, 'REACH'] },
  });

const runInterpreter = (chart: object, sent: readonly string[]): Trace[] => {
  const compiled = compileChart('random', declareEvents(chart)).unwrap();
  const log: string[] = [];
  const context = { count: 0 };
  const used = (names: ReadonlySet<string>, all: readonly string[]): string[] =>
    all.filter(name => names.has(name));
  const machine = ChartMachine.bind<typeof context, ChartEvent>(compiled, {
    actions: Object.fromEntries(
      used(compiled.actionNames, actionNames).map(name => [
        name,
        (): void => {
          log.push(name);
        },
      ]),
    ),
    guards: Object.fromEntries(
      used(compiled.guardNames, ['isEven', 'isOdd', 'isNever']).map(name => [
        name,
        (each: typeof context): boolean =>
          name !== 'isNever' && (each.count % 2 === 0) === (name === 'isEven'),
      ]),
    ),
    delays: {},
  }).unwrap();
  const instance = machine.createInstance(context, new NoTimers());
  instance.start(0);
  return sent.map((type, index) => {
    context.count = index;
    log.length = 0;
    instance.send({ type }, index);
    return { state: instance.state, actions: [...log] };
  });
};

const runXstate = (chart: object, sent: readonly string[]): Trace[] => {
  const context = { count: 0 };
  const machine = createMachine(chart as never, {
    guards: {
      isEven: () => context.count % 2 === 0,
      isOdd: () => context.count % 2 === 1,
    },
    actions: Object.fromEntries(
      actionNames.map(name => [name, () => undefined]),
    ),
  });
  let [snapshot] = initialTransition(machine);
  return sent.map((type, index) => {
    context.count = index;
    const [next, actions] = transition(machine, snapshot, { type });
    snapshot = next;
    return {
      state: formatValue(next.value),
      actions: actions.map(action => action.type),
    };
  });
};

const formatValue = (value: unknown): string =>
  typeof value === 'string'
    ? value
    : Object.entries(value as Record<string, string>)
        .map(([key, inner]) => `${key}.${formatValue(inner)}`)
        .join();

describe('the interpreter', () => {
  it('agrees with XState on states and actions', () => {
    fc.assert(
      fc.property(
        chartArbitrary,
        fc.array(fc.constantFrom(...events), { maxLength: 20 }),
        (chart, sent) => {
          expect(runInterpreter(chart, sent)).toEqual(runXstate(chart, sent));
        },
      ),
      { seed: 7, numRuns: 1_000 },
    );
  });
});
