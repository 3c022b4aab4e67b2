/**
 * What a caller has is a prefix of one answer whatever its runs do: heads, bytes, ends, resets,
 * silences, second runs, repairs and back pressure come in any order, in one turn of the loop or in
 * several.
 */
import fc from 'fast-check';
import { describe, expect, it, vi } from 'vitest';
import { createRecord, service } from './emulatedServers.js';
import { eventCount } from './fakePorts.js';
import { RunEmulator, type EmulatedCall } from './runEmulator.js';
import {
  chainSteps,
  plainSteps,
  runStep,
  runToEnd,
  type Step,
} from './runSteps.js';

// It asks over the network; the emulator answers for its servers.
vi.mock('../src/suspects/crashCheck.js', () => import('./acceptChecks.js'));

const model = {
  layers: 2,
  layerMegabytes: 1,
  cacheBytesPerToken: 1,
  stepMs: 1,
  stepMsPerRequest: 1,
  stepMsPerContextK: 1,
  kinds: [{ name: 'card', memoryMegabytes: 1_000, stepFactor: 1 }],
};
const first = { from: 0, to: 1 };
const last = { from: 1, to: 2 };

const answer: EmulatedCall = {
  isStream: false,
  service,
  servers: [undefined, undefined, undefined].map(createRecord),
  maxAttempts: 3,
};
const stream: EmulatedCall = { ...answer, isStream: true };
const chain: EmulatedCall = {
  ...answer,
  isStream: true,
  service: { ...service, model },
  servers: [first, first, first, last, last, last, last].map(createRecord),
};

/** Lists what must not be, of the stream that the caller has so far. */
const listStreamFaults = ({ caller }: RunEmulator): string[] => {
  const { body, heads, isComplete } = caller;
  const events = [...body.matchAll(/id: (\d+)\n/g)].map(([, id]) => Number(id));
  const marks = [...body.matchAll(/\ndata: (\S+)\n\n/g)].map(
    ([, mark]) => mark,
  );
  const turns = marks.filter((mark, at) => mark !== marks[at - 1]);
  return [
    ...caller.faults,
    ...(events.some((event, at) => event !== at + 1) ? ['out of order'] : []),
    ...(turns.length !== new Set(turns).size ? ['runs that take turns'] : []),
    ...(marks.length > 0 && marks[0] !== heads[0] ? ['another head'] : []),
    ...(isComplete && events.length !== eventCount ? ['an early end'] : []),
  ];
};

/** Of a call that is no stream: the whole answer of one run, or none. */
const listAnswerFaults = ({ caller, backend }: RunEmulator): string[] => {
  const { isComplete, heads, body, faults } = caller;
  const isWhole = backend.runs.some(
    ({ mark, text }) => mark === heads[0] && text === body,
  );
  return isComplete && !isWhole ? [...faults, 'an answer of no run'] : faults;
};

/** Counts examples, so that a property that meets nothing fails. */
class Seen {
  secondRuns = 0;
  repairs = 0;
  whole = 0;

  add(emulator: RunEmulator, hadSecondRun: boolean): void {
    this.secondRuns += hadSecondRun ? 1 : 0;
    this.repairs += emulator.control.updateCount > 0 ? 1 : 0;
    this.whole += emulator.caller.isComplete ? 1 : 0;
  }
}

const checkSteps = async (
  emulated: EmulatedCall,
  steps: readonly Step[],
  seen: Seen,
): Promise<void> => {
  const emulator = new RunEmulator(emulated);
  const listFaults = emulated.isStream ? listStreamFaults : listAnswerFaults;
  let hadSecondRun = false;
  try {
    for (const step of steps) {
      await runStep(emulator, step);
      hadSecondRun ||= emulator.call.hedge !== undefined;
      expect(listFaults(emulator)).toEqual([]);
    }
    expect(await runToEnd(emulator), 'whether the call ends').toBe(true);
    expect(listFaults(emulator)).toEqual([]);
    const open = emulator.backend.runs.filter(({ isOpen }) => isOpen);
    expect(open, 'runs that go on').toEqual([]);
  } finally {
    emulator.dispose();
  }
  seen.add(emulator, hadSecondRun);
};

const numRuns = 300;
const minSeen = 20;

describe('the caller of a call with several runs', () => {
  it.each([
    ['the events of a stream in order, of one run first', stream, plainSteps],
    ['those of a stream whose chains are repaired', chain, chainSteps],
    ['one whole answer of one run', answer, plainSteps],
  ])('gets %s', async (_, emulated, steps) => {
    const seen = new Seen();
    await fc.assert(
      fc.asyncProperty(steps, drawn => checkSteps(emulated, drawn, seen)),
      { seed: 46, numRuns },
    );
    expect(seen.secondRuns).toBeGreaterThan(minSeen);
    expect(seen.whole).toBeGreaterThan(minSeen);
    expect(emulated !== chain || seen.repairs > minSeen).toBe(true);
  });

  it.each<
    [string, EmulatedCall, readonly (readonly [string, number, number?])[]]
  >([
    [
      'a second run that ends without events beside one that has delivered',
      stream,
      [
        ['head', 1],
        ['bytes', 34],
        ['wait', 28],
        ['head', 1],
        ['wait', 1],
        ['turn', 1],
        ['silence', 1],
        ['end', 1],
        ['silence', 1],
      ],
    ],
    [
      'the loss of a run in the turn of its first event, beside a second run',
      chain,
      [
        ['head', 1],
        ['bytes', 22],
        ['pause', 1],
        ['block', 1],
        ['bytes', 11],
        ['lose', 1],
        ['end', 1],
        ['pause', 1],
      ],
    ],
    [
      'the end of both runs in the turn in which the repair of one fails',
      chain,
      [
        ['head', 1],
        ['bytes', 1],
        ['pause', 32],
        ['wait', 16],
        ['stall', 1],
        ['loseLast', 1],
        ['head', 1],
        ['head', 1, 1],
        ['refuseRepair', 1],
        ['rest', 1],
        ['end', 1],
        ['rest', 1],
        ['end', 1],
      ],
    ],
  ])('gets one stream in order after %s', async (_, emulated, named) => {
    const steps = named.map(([name, size, at = 0]) => ({ name, at, size }));
    await checkSteps(emulated, steps, new Seen());
  });

  // Guards against a stream that is cut though its server may only pause.
  it.each(['fail', 'break', 'refuse'])(
    'keeps its silent run when the second one ends with: %s',
    async ending => {
      const emulator = new RunEmulator({ ...stream, maxAttempts: 2 });
      const run = (name: string, at: number, size: number): Promise<void> =>
        runStep(emulator, { name, at, size });
      await run('turn', 0, 1);
      await run('head', 0, 1);
      await run('bytes', 0, 34);
      await run('turn', 0, 1);
      const { address } = emulator.backend.runs[0] ?? {};
      const silent = stream.servers.findIndex(
        record => record.address === address,
      );
      await run('silence', silent, 55);
      expect(emulator.call.hedge).toBeDefined();
      await run(ending, 1, 1);
      await run('turn', 0, 1);
      await run('turn', 0, 1);
      expect(emulator.backend.runs.map(({ isOpen }) => isOpen)).toEqual([
        true,
        false,
      ]);
      emulator.dispose();
    },
  );
});
