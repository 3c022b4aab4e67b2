/** An answer that its connection alone delimits is checked; a time limit that passes meanwhile does not lose it. */
import { afterEach, expect, it, vi } from 'vitest';
import { createRecord, service } from './emulatedServers.js';
import { RunEmulator, ServerMode } from './runEmulator.js';

// It asks over the network; the emulator answers for its servers.
vi.mock('../src/suspects/crashCheck.js', () => import('./acceptChecks.js'));

const timeoutMs = 100;

/** Longer than it takes to ask a server whether it accepts connections. */
const checkMs = 100;

let emulator: RunEmulator;

afterEach(() => {
  emulator.dispose();
});

/** Runs a call up to 1 ms before its time limit, where an answer without framing ends. */
const endAtLimit = async (): Promise<string> => {
  emulator = new RunEmulator({
    isStream: false,
    service,
    servers: [undefined, undefined].map(createRecord),
    maxAttempts: 2,
    timeoutMs,
  });
  await emulator.advance(1);
  // The answers of first runs are framed.
  emulator.backend.runs[0]?.sendHead(503, { isNotRun: true });
  await emulator.runTurn();
  await emulator.advance(timeoutMs - 1 - emulator.time.now);
  const run = emulator.backend.runs[1];
  run?.sendHead();
  run?.sendBytes(run.text.length);
  run?.finish();
  return run?.address ?? '';
};

// Guards against a call that gets 504 though its whole answer is there.
it('is delivered', async () => {
  await endAtLimit();
  await emulator.advance(checkMs);
  expect(emulator.caller.isComplete).toBe(true);
});

it('fails if its server is gone', async () => {
  const address = await endAtLimit();
  emulator.control.modes.set(address, ServerMode.Refusing);
  await emulator.advance(checkMs);
  expect(emulator.caller.isComplete).toBe(false);
  expect(emulator.hasEnded).toBe(true);
});
