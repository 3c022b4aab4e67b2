/** A call is not sent again once its caller has left or its time is over, though the loop has not handled that yet. */
import { afterEach, expect, it, vi } from 'vitest';
import { RunEmulator } from './runEmulator.js';
import { createRecord, service } from './emulatedServers.js';

// It asks over the network; the emulator answers for its servers.
vi.mock('../src/suspects/crashCheck.js', () => import('./acceptChecks.js'));

const timeoutMs = 30_000;

let emulator: RunEmulator;

afterEach(() => {
  emulator.dispose();
});

const startCall = async (): Promise<void> => {
  emulator = new RunEmulator({
    isStream: false,
    service,
    servers: [undefined, undefined].map(createRecord),
    maxAttempts: 2,
  });
  await emulator.advance(10);
};

const refuseRun = async (): Promise<void> => {
  emulator.backend.runs[0]?.sendHead(503, { isNotRun: true });
  await emulator.runTurn();
};

it('a refused call is sent again', async () => {
  await startCall();
  await refuseRun();
  expect(emulator.backend.runs.length).toBe(2);
});

// Guards against a retry while the departure waits in the queue of the loop.
it('a refused call is not sent again after its caller has left', async () => {
  await startCall();
  emulator.caller.hasLeft = true;
  await refuseRun();
  expect(emulator.backend.runs.length).toBe(1);
  expect(emulator.hasEnded).toBe(true);
});

// Guards against a retry before the loop has handled the timer of the time limit.
it('a refused call is not sent again after its time is over', async () => {
  await startCall();
  emulator.time.now += timeoutMs;
  await refuseRun();
  expect(emulator.backend.runs.length).toBe(1);
  expect(emulator.hasEnded).toBe(true);
});
