/** No run of a call goes on at a server after the time limit, whatever its other run has sent by then. */
import { afterEach, expect, it, vi } from 'vitest';
import { createRecord, service } from './emulatedServers.js';
import { RunEmulator, ServerMode } from './runEmulator.js';

// It asks over the network; the emulator answers for its servers.
vi.mock('../src/suspects/crashCheck.js', () => import('./acceptChecks.js'));

const timeoutMs = 500;

/** Longer than it takes to ask a server whether it accepts connections. */
const checkMs = 100;

let emulator: RunEmulator;

afterEach(() => {
  emulator.dispose();
});

/** Runs a call at two servers up to 1 ms before its time limit. */
const runTwice = async (isStream: boolean): Promise<void> => {
  emulator = new RunEmulator({
    isStream,
    service,
    servers: [undefined, undefined].map(createRecord),
    maxAttempts: 3,
    timeoutMs,
  });
  await emulator.advance(10);
  emulator.noteProof('i-0');
  emulator.noteProof('i-1');
  emulator.call.instance?.send({ type: 'HEDGE' }, emulator.time.now);
  await emulator.advance(timeoutMs - 1 - emulator.time.now);
  expect(emulator.backend.runs.length).toBe(2);
  expect(emulator.backend.runs.every(({ isOpen }) => isOpen)).toBe(true);
};

const listOpen = (): readonly string[] =>
  emulator.backend.runs.filter(({ isOpen }) => isOpen).map(({ mark }) => mark);

const sendWhole = (at: number): void => {
  const run = emulator.backend.runs[at];
  run?.sendHead();
  run?.sendBytes(run.text.length);
  run?.finish();
};

// Guards against a first run without a time limit, as the end of the second one was being checked at the limit.
it('a run ends beside one whose whole answer is checked at the limit and fails', async () => {
  await runTwice(false);
  sendWhole(1);
  const second = emulator.backend.runs[1]?.address ?? '';
  emulator.control.modes.set(second, ServerMode.Refusing);
  await emulator.advance(checkMs);
  expect(listOpen()).toEqual([]);
  expect(emulator.hasEnded).toBe(true);
});

it('a whole answer that is checked at the limit is delivered', async () => {
  await runTwice(false);
  sendWhole(1);
  await emulator.advance(checkMs);
  expect(listOpen()).toEqual([]);
  expect(emulator.caller.isComplete).toBe(true);
});

// Guards against an answer without a time limit, as the run that lost was whole at the limit.
it('a run that answers ends though the other one is whole', async () => {
  await runTwice(true);
  const [first] = emulator.backend.runs;
  first?.sendHead();
  first?.sendBytes(first.text.length - 1);
  sendWhole(1);
  await emulator.advance(checkMs);
  expect(listOpen()).toEqual([]);
  expect(emulator.hasEnded).toBe(true);
});
