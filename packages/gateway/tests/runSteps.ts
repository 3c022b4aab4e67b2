/** What can happen to a call, its runs and its servers, in steps of which a test draws any sequence. */
import fc from 'fast-check';
import { Err, ErrorKind, Ok, TypedError } from '@lycheetally/common';
import type { BackendRecord, StageServer } from '@lycheetally/decisions';
import type { FakeRun } from './fakePorts.js';
import { ServerMode, type RunEmulator } from './runEmulator.js';

/** One thing that happens; `at` picks one of the open runs, or a server. */
export interface Step {
  readonly name: string;
  readonly at: number;
  readonly size: number;
}

type Action = (emulator: RunEmulator, step: Step) => Promise<void> | undefined;

const maxSize = 60;
const waitStepMs = 40;

/** Time that it takes to begin a second run beside a silent one: of a chain, and of a plain server. */
const pauseMs = 700;
const longPauseMs = 2_000;

/** Shortest time from the end of a killed server until it is back. */
const restartMs = 300;

/** Puts all the bytes that are left into one chunk. */
const allBytes = 10_000;

const pickRun = ({ backend }: RunEmulator, at: number): FakeRun | undefined => {
  const open = backend.runs.filter(({ isOpen }) => isOpen);
  return open[at % Math.max(1, open.length)];
};

const pickServer = ({ emulated }: RunEmulator, at: number): BackendRecord => {
  const { servers } = emulated;
  const server = servers[at % servers.length];
  if (!server) {
    throw new Error('the emulated call has no servers');
  }
  return server;
};

/** Changes how a server answers; one that was killed is back only after it was asked whether it is there. */
const setMode = async (
  emulator: RunEmulator,
  address: string,
  mode: ServerMode,
): Promise<void> => {
  const { modes } = emulator.control;
  if (modes.get(address) === ServerMode.Refusing) {
    await emulator.advance(restartMs);
  }
  modes.set(address, mode);
};

const runActions: Readonly<
  Record<string, (run: FakeRun, size: number) => void>
> = {
  head: run => {
    run.acceptConnection();
    run.sendHead();
  },
  bytes: (run, size) => {
    run.sendBytes(size);
  },
  rest: run => {
    run.sendBytes(allBytes);
  },
  end: run => {
    run.finish();
  },
  break: run => {
    run.cut();
  },
  fail: run => {
    run.acceptConnection();
    run.sendHead(500);
  },
  refuse: run => {
    run.acceptConnection();
    run.sendHead(503, { isNotRun: true });
  },
};

const otherActions: Readonly<Record<string, Action>> = {
  turn: emulator => emulator.runTurn(),
  wait: (emulator, { size }) => emulator.advance(size * waitStepMs),
  // The first server of a run falls silent for a while.
  pause: async (emulator, { at, size }) => {
    const address = pickRun(emulator, at)?.address ?? '';
    await setMode(emulator, address, ServerMode.Silent);
    await emulator.advance(size % 2 === 0 ? pauseMs : longPauseMs);
    await setMode(emulator, address, ServerMode.Answering);
  },
  silence: async (emulator, { at, size }) => {
    const { address } = pickServer(emulator, at);
    await setMode(emulator, address, ServerMode.Silent);
    await emulator.advance(size * waitStepMs);
  },
  answer: async (emulator, { at }) => {
    const { serverId, address } = pickServer(emulator, at);
    await setMode(emulator, address, ServerMode.Answering);
    emulator.noteProof(serverId);
  },
  // The server of a run is killed; an answer without framing ends wherever it is.
  kill: (emulator, { at }) => {
    const { address = '' } = pickRun(emulator, at) ?? {};
    emulator.control.modes.set(address, ServerMode.Refusing);
    emulator.backend.runs
      .filter(run => run.address === address)
      .forEach(run => {
        run.cutByKill();
      });
    return undefined;
  },
  crash: (emulator, { at }) => {
    const { address } = pickServer(emulator, at);
    emulator.control.modes.set(address, ServerMode.Refusing);
    return undefined;
  },
  block: ({ caller }) => {
    caller.isBlocked = true;
    return undefined;
  },
  unblock: ({ caller }) => {
    caller.drain();
    return undefined;
  },
};

/** What can happen to a chain; its first server repairs it. */
const chainActions: Readonly<Record<string, Action>> = {
  lose: (emulator, { at }) => {
    emulator.crashServer(pickServer(emulator, at).serverId);
    return undefined;
  },
  loseLast: emulator => {
    emulator.crashServer(findLastStage(emulator)?.serverId ?? '');
    return undefined;
  },
  stall: emulator => {
    emulator.control.stalledAt = findLastStage(emulator)?.address;
    return emulator.advance(longPauseMs);
  },
  repair: ({ control }) => {
    control.stalledAt = undefined;
    control.updates.shift()?.(Ok({ isAccepted: true }));
    return undefined;
  },
  refuseRepair: (emulator, { at }) => {
    const refusedBy = pickServer(emulator, at).address;
    const refusal = Ok({ isAccepted: false, refusedBy });
    emulator.control.updates.shift()?.(refusal);
    return undefined;
  },
  loseRepair: ({ control }) => {
    const error = new TypedError(ErrorKind.DeadlineExceeded, 'lost', '');
    control.updates.shift()?.(Err(error));
    return undefined;
  },
};

const findLastStage = ({ call }: RunEmulator): StageServer | undefined =>
  call.attempt?.chosen.chain.at(-1)?.server;

export const runStep = async (
  emulator: RunEmulator,
  step: Step,
): Promise<void> => {
  const { name, at, size } = step;
  const run = pickRun(emulator, at);
  if (run) {
    runActions[name]?.(run, size);
  }
  await (otherActions[name] ?? chainActions[name])?.(emulator, step);
};

/** How often each step is drawn. */
const plainWeights = {
  head: 6,
  bytes: 8,
  rest: 4,
  end: 5,
  break: 2,
  fail: 1,
  refuse: 1,
  turn: 5,
  wait: 2,
  pause: 4,
  silence: 2,
  answer: 2,
  kill: 3,
  crash: 1,
  block: 2,
  unblock: 2,
};

const chainWeights = {
  ...plainWeights,
  lose: 1,
  loseLast: 2,
  stall: 3,
  repair: 3,
  refuseRepair: 1,
  loseRepair: 1,
};

const drawSteps = (
  weights: Readonly<Record<string, number>>,
): fc.Arbitrary<Step[]> => {
  const names = Object.entries(weights).map(([name, weight]) => ({
    weight,
    arbitrary: fc.constant(name),
  }));
  const size = fc.integer({ min: 1, max: maxSize });
  const step = fc.record({ name: fc.oneof(...names), at: fc.nat(9), size });
  return fc.array(step, { minLength: 5, maxLength: 40 });
};

export const plainSteps = drawSteps(plainWeights);
export const chainSteps = drawSteps(chainWeights);

const maxLastRounds = 25;
const lastRoundMs = 300;

/** Lets everything go well until the call has ended; returns whether it did. */
export const runToEnd = async (emulator: RunEmulator): Promise<boolean> => {
  const { backend, caller, control } = emulator;
  await emulator.advance(restartMs);
  control.modes.clear();
  control.stalledAt = undefined;
  caller.drain();
  for (let round = 0; round < maxLastRounds && !emulator.hasEnded; round += 1) {
    control.updates.splice(0).forEach(accept => {
      accept(Ok({ isAccepted: true }));
    });
    backend.runs.forEach(run => {
      run.acceptConnection();
      run.sendHead();
      run.sendBytes(allBytes);
      run.finish();
    });
    await emulator.advance(lastRoundMs);
  }
  return emulator.hasEnded;
};
