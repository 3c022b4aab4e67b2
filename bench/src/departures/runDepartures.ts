/** Runs one gateway on a slow VM under bursts of callers that leave. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { DisposableStore, millisecondsPerSecond } from '@lycheetally/common';
import {
  PlatformStoreStandIn,
  SeededRandom,
  formatConfigurationRecord,
  formatServerRecord,
  waitFor,
} from '@lycheetally/testkit';
import { findFreePort } from '../freePort.js';
import { GatewayProcess } from '../soak/gatewayProcess.js';
import { countDepartures, type DepartureCounts } from './countDepartures.js';
import {
  DepartingCaller,
  DepartureKind,
  departuresHost,
  departuresKey,
} from './departingCaller.js';
import { DepartureServer } from './departureServer.js';
import { SlowVm } from './slowVm.js';

export interface DepartureTrial {
  readonly seed: number;
  readonly durationMs: number;
  /** Time that the gateway runs in each tenth of a second, in milliseconds; all of it with 100. */
  readonly runMs: number;
  readonly callsPerSecond: number;
  /** Calls that come at the same moment, each on a new connection, and the time between two such moments. */
  readonly burst: number;
  readonly burstIntervalMs: number;
  /** Time that calls name and after which their callers leave; drawn from between the two. */
  readonly patienceMs: readonly [number, number];
  /** Time that servers run a call; one in ten runs for `longRunMs`. */
  readonly serverMs: number;
}

export interface DepartureResult extends DepartureCounts {
  /** Lines of the gateway's log about long turns. */
  readonly longTurns: readonly string[];
}

const serverCount = 4;
const longRunMs = 3_000;
const longRunShare = 10;
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
    const callers = await sendCalls(trial, gateway.port);
    await waitFor(settleMs);
    const runs = servers.flatMap(server => server.runs);
    const longTurns = gateway.logLines.filter(line =>
      line.includes('A turn of the loop was long.'),
    );
    return { ...countDepartures(callers, runs), longTurns };
  } finally {
    disposables.dispose();
    await gateway.dispose();
    rmSync(folder, { recursive: true });
  }
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

const sendCalls = async (
  trial: DepartureTrial,
  port: number,
): Promise<readonly DepartingCaller[]> => {
  const random = new SeededRandom(trial.seed);
  const callers: DepartingCaller[] = [];
  const kinds = Object.values(DepartureKind);
  const [shortest, longest] = trial.patienceMs;
  const addCaller = (): void => {
    const isLong = random.pickInteger(longRunShare) === 0;
    callers.push(
      new DepartingCaller({
        id: `${String(trial.seed)}-${String(callers.length)}`,
        port,
        runMs: isLong ? longRunMs : trial.serverMs,
        patienceMs: shortest + random.pickInteger(longest - shortest + 1),
        kind: random.pickOne(kinds),
      }),
    );
  };
  const startedAt = Date.now();
  const endsAt = startedAt + trial.durationMs;
  let nextBurstAt = startedAt + trial.burstIntervalMs;
  while (Date.now() < endsAt) {
    addCaller();
    if (Date.now() >= nextBurstAt) {
      nextBurstAt += trial.burstIntervalMs;
      for (let count = 0; count < trial.burst; count += 1) {
        addCaller();
      }
    }
    await waitFor(millisecondsPerSecond / trial.callsPerSecond);
  }
  await Promise.all(callers.map(({ ended }) => ended));
  return callers;
};
