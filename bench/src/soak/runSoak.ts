/** Runs one soak: calls during seeded faults, calls after them, then the check of the history. */
import { SeededNumbers, waitFor } from '@lycheetally/testkit';
import { countBy } from '../load/reconcile.js';
import { checkSoak } from './checkSoak.js';
import type { GatewayProcess } from './gatewayProcess.js';
import { runCallers } from './soakCallers.js';
import { runSoakFaults } from './soakFaults.js';
import { SoakWorld } from './soakWorld.js';
import type { BrokenPromise, SoakCall, SoakHistory } from './types.js';

export interface SoakResult {
  readonly seed: number;
  readonly calls: number;
  /** Number of calls by response status; 0 for a connection closed without a response. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
  readonly broken: readonly BrokenPromise[];
  /** Lines of the gateways' logs that name a call with a broken guarantee. */
  readonly lines: readonly string[];
}

/**
 * Milliseconds between the end of the faults and the calls that follow: time
 * for a read of the store that was lost to expire and for the next one to succeed.
 */
const settleMs = 1_500;

/** Milliseconds for which calls are sent after the faults. */
const calmMs = 600;

/** Share of the calls after the faults that must succeed. */
const calmShare = 0.95;

export const runSoak = async (
  seed: number,
  durationMs: number,
): Promise<SoakResult> => {
  const world = new SoakWorld(seed);
  try {
    await world.start();
    const load = {
      seed,
      ports: world.gateways.map(({ port }) => port),
      keys: [...world.accounts.keys()],
      startedAt: world.startedAt,
      durationMs,
    };
    const [calls, faults] = await Promise.all([
      runCallers(load),
      runSoakFaults(world, new SeededNumbers(seed), durationMs),
    ]);
    world.endTroubles();
    await waitFor(settleMs);
    const late = await world.listUnready();
    const failed = world.gateways.filter(
      gateway => gateway.failures > 0 || late.includes(gateway),
    );
    if (failed.length > 0) {
      return describeFailed(seed, calls, faults, failed);
    }
    const after = await runCallers({
      ...load,
      seed: -seed,
      keys: load.keys.slice(0, 1),
      durationMs: calmMs,
    });
    return describeSoak(world, seed, calls, after, faults);
  } finally {
    await world.dispose();
  }
};

/** Log lines reported for a gateway that failed. */
const lastLines = 40;

const describeFailed = (
  seed: number,
  calls: readonly SoakCall[],
  faults: readonly string[],
  failed: readonly GatewayProcess[],
): SoakResult => ({
  seed,
  calls: calls.length,
  statuses: {},
  faults,
  broken: failed.map(({ name }) => ({
    promise: `${name} keeps running and is ready after the faults`,
    requestId: '',
  })),
  lines: failed.flatMap(({ lines }) =>
    lines.filter(line => !line.includes('[calls]')).slice(-lastLines),
  ),
});

const describeSoak = (
  world: SoakWorld,
  seed: number,
  calls: readonly SoakCall[],
  after: readonly SoakCall[],
  faults: readonly string[],
): SoakResult => {
  const history: SoakHistory = {
    calls: [...calls, ...after],
    runs: world.servers.flatMap(({ runs }) => runs),
    accounts: world.accounts,
    revokedAt: world.revokedAt,
  };
  const broken = [...checkSoak(history), ...checkCalm(after)];
  const ids = new Set(broken.map(({ requestId }) => requestId));
  const lines = world.gateways
    .flatMap(gateway => gateway.lines)
    .filter(line => [...ids].some(id => id !== '' && line.includes(`"${id}"`)));
  const statuses = countBy(history.calls.map(({ status }) => String(status)));
  const { length } = history.calls;
  return { seed, calls: length, statuses, faults, broken, lines };
};

const checkCalm = (after: readonly SoakCall[]): BrokenPromise[] => {
  const unserved = after.filter(({ status }) => status !== 200);
  const isCalm = unserved.length <= (1 - calmShare) * after.length;
  const promise = 'calls are served after the faults';
  return isCalm
    ? []
    : unserved.map(({ requestId }) => ({ promise, requestId }));
};
