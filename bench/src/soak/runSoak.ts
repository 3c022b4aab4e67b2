/** Runs one soak: calls during seeded faults, calls after them, then the check of the history. */
import { millisecondsPerSecond } from '@lycheetally/common';
import { SeededRandom, waitFor } from '@lycheetally/testkit';
import { countBy } from '../load/reconcile.js';
import { countCrashes, type CrashCounts } from './checkDeadlyCalls.js';
import { checkSoak } from './checkSoak.js';
import type { GatewayProcess } from './gatewayProcess.js';
import { countStreams, type StreamCounts } from './countStreams.js';
import { runCallers } from './soakCallers.js';
import { SoakHarness, drainSeconds } from './soakHarness.js';
import type { SoakScenario } from './soakScenario.js';
import { countCuts, noCuts, type StopCuts } from './stopCuts.js';
import type {
  GuaranteeViolation,
  SoakCall,
  SoakHistory,
  SoakRun,
} from './types.js';

export interface SoakResult {
  readonly seed: number;
  readonly calls: number;
  /** Number of calls by response status; 0 for a connection closed without a response. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Calls that stops of gateways cut. */
  readonly cuts: StopCuts;
  /** What deadly calls did, if there were any. */
  readonly crashes?: CrashCounts | undefined;
  /** What the servers did to streams, unless gateways failed. */
  readonly streams?: StreamCounts;
  readonly faults: readonly string[];
  readonly broken: readonly GuaranteeViolation[];
  /** Calls with a broken guarantee, their runs, and the lines of the gateways' logs that name them. */
  readonly lines: readonly string[];
}

/**
 * Milliseconds between the end of the faults and the calls that follow: time
 * for a read of the store that was lost to expire and for the next one to succeed.
 */
const recoveryWaitMs = 1_500;

/** Milliseconds for which calls are sent after the faults. */
const recoveryCheckMs = 600;

/** Share of the calls after the faults that must succeed. */
const minServedShare = 0.95;

export const runSoak = async (
  seed: number,
  durationMs: number,
  scenario: SoakScenario,
): Promise<SoakResult> => {
  const processes = scenario.getProcesses(seed);
  const harness = new SoakHarness(seed, scenario.routeTimeoutMs, processes);
  try {
    await harness.start();
    const load = {
      seed,
      ports: harness.gateways.map(({ port }) => port),
      keys: [...harness.accounts.keys()],
      startedAt: harness.startedAt,
      durationMs,
    };
    const [calls, faults] = await Promise.all([
      scenario.runCallers(load),
      scenario.runFaults(harness, new SeededRandom(seed), durationMs),
    ]);
    harness.endFaults();
    await waitFor(recoveryWaitMs);
    const unready = await harness.listUnready();
    const failed = harness.gateways.filter(
      gateway => gateway.failures > 0 || unready.includes(gateway),
    );
    if (failed.length > 0) {
      return describeFailedGateways(seed, calls, faults, failed);
    }
    const recoveredAt = Date.now() - harness.startedAt;
    const callsAfterFaults = await runCallers({
      ...load,
      seed: -seed,
      keys: load.keys.slice(0, 1),
      durationMs: recoveryCheckMs,
    });
    return describeSoak({
      harness,
      seed,
      calls,
      callsAfterFaults,
      recoveredAt,
      faults,
      scenario,
    });
  } finally {
    await harness.dispose();
  }
};

/** Log lines reported for a gateway that failed. */
const maxFailureLogLines = 40;

const describeFailedGateways = (
  seed: number,
  calls: readonly SoakCall[],
  faults: readonly string[],
  failed: readonly GatewayProcess[],
): SoakResult => ({
  seed,
  calls: calls.length,
  statuses: {},
  cuts: noCuts,
  faults,
  broken: failed.map(({ name }) => ({
    promise: `${name} keeps running and is ready after the faults`,
    requestId: '',
  })),
  lines: failed.flatMap(({ logLines }) =>
    logLines
      .filter(line => !line.includes('[calls]'))
      .slice(-maxFailureLogLines),
  ),
});

interface EndedSoak {
  readonly harness: SoakHarness;
  readonly seed: number;
  readonly calls: readonly SoakCall[];
  readonly callsAfterFaults: readonly SoakCall[];
  readonly recoveredAt: number;
  readonly faults: readonly string[];
  readonly scenario: SoakScenario;
}

const describeSoak = ({
  harness,
  seed,
  calls,
  callsAfterFaults,
  recoveredAt,
  faults,
  scenario,
}: EndedSoak): SoakResult => {
  const history: SoakHistory = {
    calls: [...calls, ...callsAfterFaults],
    runs: harness.listRuns(),
    accounts: harness.accounts,
    revocationDeadlines: harness.revocationDeadlines,
    isPlannedOnly: scenario.isPlannedOnly,
    refusesOnlyAtStops: scenario.refusesOnlyAtStops,
    stops: harness.gateways.flatMap(({ port, stops }) =>
      stops.map(({ at, exitAt }) => ({
        port,
        at: at - harness.startedAt,
        exitAt: exitAt - harness.startedAt,
      })),
    ),
    resets: harness.gateways.flatMap(({ port, resetTimes }) =>
      resetTimes.map(at => ({ port, at: at - harness.startedAt })),
    ),
    leaveDeadlines: harness.leaveDeadlines,
    recoveredAt,
    graceMs: drainSeconds * millisecondsPerSecond,
    crashes: scenario.hasDeadlyCalls ? harness.getCrashes() : undefined,
  };
  const broken = [...checkSoak(history), ...checkRecovery(callsAfterFaults)];
  const ids = new Set(broken.map(({ requestId }) => requestId));
  const records = [...history.calls, ...history.runs]
    .filter(({ requestId }) => ids.has(requestId))
    .map(describeRecord);
  const logLines = harness.gateways
    .flatMap(gateway => gateway.logLines)
    .filter(line => [...ids].some(id => id !== '' && line.includes(`"${id}"`)));
  const statuses = countBy(history.calls.map(({ status }) => String(status)));
  const { length } = history.calls;
  const cuts = countCuts(history);
  const crashes = history.crashes && countCrashes(history.crashes, history);
  return {
    seed,
    calls: length,
    statuses,
    cuts,
    crashes,
    streams: countStreams(
      history.calls,
      history.runs,
      harness.gateways.reduce((sum, { secondRuns }) => sum + secondRuns, 0),
    ),
    faults,
    broken,
    lines: [...records, ...logLines],
  };
};

/** Characters at the end of an answer that a result shows. */
const shownCharacters = 300;

const describeRecord = (record: SoakCall | SoakRun): string =>
  JSON.stringify({ ...record, answer: record.answer.slice(-shownCharacters) });

const checkRecovery = (calls: readonly SoakCall[]): GuaranteeViolation[] => {
  const unserved = calls.filter(({ status }) => status !== 200);
  const isRecovered = unserved.length <= (1 - minServedShare) * calls.length;
  const promise = 'calls are served after the faults';
  return isRecovered
    ? []
    : unserved.map(({ requestId }) => ({ promise, requestId }));
};
