/** Runs one gateway on a slow VM under bursts of callers that leave. */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import { DisposableStore } from '@lycheetally/common';
import {
  PlatformStoreStandIn,
  formatConfigurationRecord,
  formatServerRecord,
  waitFor,
} from '@lycheetally/testkit';
import { findFreePort } from '../freePort.js';
import { GatewayProcess } from '../soak/gatewayProcess.js';
import { countDepartures, type DepartureCounts } from './countDepartures.js';
import { departuresHost, departuresKey } from './departingCaller.js';
import { DepartureServer } from './departureServer.js';
import type { CallersOrder, DepartureTrial, EndedCaller } from './sendCalls.js';
import { SlowVm } from './slowVm.js';

export interface DepartureResult extends DepartureCounts {
  /** Longest time for which the servers were held up, which makes arrivals look late. */
  readonly observerDelayMs: number;
  /** Lines of the gateway's log about long turns. */
  readonly longTurns: readonly string[];
}

const nanosecondsPerMillisecond = 1_000_000;
const serverCount = 4;
const routeTimeoutMs = 10_000;
const slots = 500;

/** Time in which the last calls reach servers or are cancelled there. */
const settleMs = 3_000;

export const runDepartures = async (
  trial: DepartureTrial,
): Promise<DepartureResult> => {
  const disposables = new DisposableStore();
  const folder = mkdtempSync(join(tmpdir(), 'lycheetally-departures-'));
  const servers = Array.from(
    { length: serverCount },
    (_, at) => new DepartureServer(`i-${String(at)}`),
  );
  const gateway = await startGateway(folder, servers, disposables);
  try {
    await gateway.waitUntilReady();
    if (trial.runMs < 100) {
      const sendSignal = (signal: NodeJS.Signals): void => {
        gateway.sendSignal(signal);
      };
      disposables.add(new SlowVm(sendSignal, trial.runMs));
    }
    const observerDelay = monitorEventLoopDelay();
    observerDelay.enable();
    const callers = await runCallers({ trial, port: gateway.port });
    await waitFor(settleMs);
    observerDelay.disable();
    const runs = servers.flatMap(server => server.runs);
    const longTurns = gateway.logLines.filter(line =>
      line.includes('A turn of the loop was long.'),
    );
    const observerDelayMs = Math.round(
      observerDelay.max / nanosecondsPerMillisecond,
    );
    return { ...countDepartures(callers, runs), observerDelayMs, longTurns };
  } finally {
    disposables.dispose();
    await gateway.dispose();
    rmSync(folder, { recursive: true });
  }
};

const callersProgram = fileURLToPath(
  new URL('../../dist/departures/callersProgram.js', import.meta.url),
);

/** Runs the callers in a process of their own: their bursts would hold up the servers. */
const runCallers = async (
  order: CallersOrder,
): Promise<readonly EndedCaller[]> => {
  const child = fork(callersProgram);
  child.send(order);
  const [ended] = (await once(child, 'message')) as [readonly EndedCaller[]];
  child.kill();
  return ended;
};

const startGateway = async (
  folder: string,
  servers: readonly DepartureServer[],
  disposables: DisposableStore,
): Promise<GatewayProcess> => {
  const store = new PlatformStoreStandIn();
  const address = await store.listen();
  disposables.addCallback(() => {
    store.close();
  });
  const configuration = formatConfigurationRecord({
    version: 1,
    host: departuresHost,
    timeoutMs: routeTimeoutMs,
    accounts: [{ name: 'account-1', keys: [departuresKey] }],
  });
  store.put('keyed.op', 'config', configuration);
  for (const { backend } of servers) {
    const record = formatServerRecord(await backend.listen(), { slots });
    store.put('keyed.servers', backend.serverId, record);
    disposables.addCallback(() => {
      backend.close();
    });
  }
  const port = await findFreePort();
  const readyPort = await findFreePort();
  const gateway = new GatewayProcess('gateway-0', port, readyPort, folder, {
    process: { id: 'gateway-0', failureDomain: 'zone-a', drainSeconds: 5 },
    listen: {
      callers: `127.0.0.1:${String(port)}`,
      readiness: `127.0.0.1:${String(readyPort)}`,
    },
    rules: {
      heartbeatMs: 1_200,
      revokeMs: 5_000,
      retryRatio: 0.2,
      retrySlack: 200,
      retryWindowSeconds: 10,
    },
    platform: { store: address, partitions: 1 },
  });
  gateway.start();
  return gateway;
};
