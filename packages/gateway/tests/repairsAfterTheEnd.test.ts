/** No server is told to go on with a call whose caller has left or whose time is over. */
import { afterEach, expect, it, vi } from 'vitest';
import { createRecord, service } from './emulatedServers.js';
import { RunEmulator } from './runEmulator.js';

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

let emulator: RunEmulator;

afterEach(() => {
  emulator.dispose();
});

/** Runs a stream on a chain, and loses the last server of the chain after the change. */
const crashLast = async (change: () => void): Promise<void> => {
  emulator = new RunEmulator({
    isStream: true,
    service: { ...service, model },
    servers: [first, last, last].map(createRecord),
    maxAttempts: 3,
  });
  await emulator.advance(10);
  emulator.backend.runs[0]?.sendHead();
  await emulator.runTurn();
  change();
  const lost = emulator.call.attempt?.chosen.chain[1]?.server.serverId ?? '';
  emulator.crashServer(lost);
  await emulator.runTurn();
};

it('a chain that loses a server is repaired', async () => {
  await crashLast(() => undefined);
  expect(emulator.control.updateCount).toBe(1);
});

// Guards against an update that has other servers begin to run a call which is over.
it('a chain is not repaired after the caller has left', async () => {
  await crashLast(() => {
    emulator.caller.hasLeft = true;
  });
  expect(emulator.control.updateCount).toBe(0);
});

it('a chain is not repaired after the time limit', async () => {
  await crashLast(() => {
    emulator.time.now += 30_000;
  });
  expect(emulator.control.updateCount).toBe(0);
});
