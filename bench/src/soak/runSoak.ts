/** One soak: calls under seeded troubles, then a calm end, then the check. */
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
  /** Calls by the status of their answer; 0 for a closed connection. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
  readonly broken: readonly BrokenPromise[];
  /** Lines of the gateways' logs that name a call with a broken promise. */
  readonly lines: readonly string[];
}

/** Milliseconds between the last trouble and the first calls: one lost read of the store, and the next. */
const settleMs = 1_500;

/** Milliseconds of calls after the troubles, all of which must be served. */
const calmMs = 600;

/** Share of the calls after the troubles that must succeed. */
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

/** Last lines of the log of a gateway that failed. */
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
    promise: `${name} goes on and is ready after the troubles`,
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
  const promise = 'calls are served after the troubles';
  return isCalm
    ? []
    : unserved.map(({ requestId }) => ({ promise, requestId }));
};
