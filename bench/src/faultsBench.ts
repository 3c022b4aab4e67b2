/**
 * Runs a fleet of processes with seeded faults, one or two at a time.
 *
 * Each fleet serves several runs. A run starts its calls, injects and removes
 * its faults, and waits for every call. After the last run of a fleet, the
 * calls of all its runs are checked against the stand-ins' records.
 */
import {
  RouterFleet,
  SeededRandom,
  checkHistory,
  defaultFleetOptions,
  makeFaultPlan,
  readHistory,
  runFaultPlan,
  runRecordedLoad,
  waitFor,
  waitUntil,
  type CallRecord,
  type FleetOptions,
  type Violation,
} from '@lycheetally/testkit';
import { countBy } from './load/reconcile.js';
import { Bench, type BenchOptions } from './types.js';

/** Totals of all fault runs. */
export interface FaultRunsResult {
  readonly runs: number;
  readonly requests: number;
  readonly faults: number;
  /** Number of faults by kind. */
  readonly faultKinds: Readonly<Record<string, number>>;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
}

export interface FaultRunsOptions {
  readonly seed: number;
  readonly runs: number;
  readonly report: (line: string) => void;
}

const runsPerFleet = 10;
const callsPerRun = { completions: 6, maxTokens: 24, plainCalls: 6 };
const callTimes = { spreadMs: 300, deadlineMs: 9_000 };
const settleTimeoutMs = 60_000;
const settleMs = 250;

/** The fleet that the faults are injected into. */
export const faultFleetOptions: FleetOptions = {
  ...defaultFleetOptions,
  entries: 2,
  stages: 2,
  replicas: 2,
  plainServers: 2,
  layers: 6,
  stepMs: 8,
  plainMs: 120,
  hasRelays: true,
  silenceSeconds: 2,
};

/** Runs seeded faults; odd runs have one fault, even runs have two. */
export const runFaults = async (
  options: FaultRunsOptions,
): Promise<FaultRunsResult> => {
  const calls: CallRecord[] = [];
  const violations: Violation[] = [];
  const faultNames: string[] = [];
  for (let first = 0; first < options.runs; first += runsPerFleet) {
    const count = Math.min(runsPerFleet, options.runs - first);
    const result = await runOnFleet(options, first, count);
    calls.push(...result.calls);
    violations.push(...result.violations);
    faultNames.push(...result.faultNames);
    const done = String(first + count);
    options.report(`${done} runs, ${String(violations.length)} violations`);
  }
  return {
    runs: options.runs,
    requests: calls.length,
    faults: faultNames.length,
    faultKinds: countBy(faultNames.map(name => name.split(' ')[0] ?? '')),
    outcomes: countBy(calls.map(call => call.answer?.outcome ?? 'none')),
    violations,
  };
};

/** Results of the runs on one fleet. */
interface FleetRunsResult {
  readonly calls: readonly CallRecord[];
  readonly violations: readonly Violation[];
  readonly faultNames: readonly string[];
}

const runOnFleet = async (
  options: FaultRunsOptions,
  first: number,
  count: number,
): Promise<FleetRunsResult> => {
  const fleet = new RouterFleet(faultFleetOptions);
  const calls: CallRecord[] = [];
  const faultNames: string[] = [];
  try {
    await fleet.start();
    for (let run = first; run < first + count; run += 1) {
      const random = new SeededRandom(options.seed * 1_000 + run);
      const plan = makeFaultPlan(fleet, random, 2 - (run % 2));
      const names = plan.map(planned => planned.fault.name);
      options.report(`run ${String(run)}: ${names.join(', ')}`);
      const name = `seed${String(options.seed)}-run${String(run)}`;
      const shape = { name, ...callsPerRun, ...callTimes };
      const [answered] = await Promise.all([
        runRecordedLoad(fleet, shape, random),
        runFaultPlan(fleet, plan),
      ]);
      calls.push(...answered);
      faultNames.push(...names);
      await waitUntilSettled(fleet);
    }
    const history = await readHistory(fleet, calls);
    return { calls, violations: checkHistory(history), faultNames };
  } finally {
    await fleet.dispose();
  }
};

/** Waits until every entry is connected to every server again. */
const waitUntilSettled = async (fleet: RouterFleet): Promise<void> => {
  await waitUntil(
    'every entry is connected to every server again',
    () => fleet.isFullyConnected(),
    settleTimeoutMs,
  );
  await waitFor(settleMs);
};

const benchRuns = 200;

export class FaultsBench extends Bench {
  override readonly name = 'faults';
  override readonly summary =
    'requests without a violation in 200 seeded runs with one or two faults each';
  override readonly unit = 'requests';

  protected override async measure({ seed, report }: BenchOptions): Promise<{
    baseline: null;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const runs = benchRuns;
    const result = await runFaults({ seed, runs, report });
    const { requests, outcomes, violations } = result;
    const unknownShare = (outcomes.unknown ?? 0) / requests;
    return {
      baseline: null,
      ours: requests - violations.length,
      detail: { ...result, unknownShare },
    };
  }
}
