/**
 * Seeded runs of a fleet of processes under faults, alone and in pairs.
 *
 * One fleet carries many runs. Each run begins its calls, switches its faults
 * on and off, and waits for every call; the history of all runs of a fleet is
 * checked when they are over, with the stand-ins' own records.
 */
import {
  RouterFleet,
  SeededNumbers,
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

/** What fault runs added up to. */
export interface FaultRunsResult {
  readonly runs: number;
  readonly requests: number;
  readonly faults: number;
  /** Runs that each kind of fault took part in. */
  readonly faultKinds: Readonly<Record<string, number>>;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
}

/** Runs on fleets of processes. */
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

/** The fleet that faults are run on. */
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

/** Runs seeded faults; odd runs have one fault, even ones two. */
export const runFaults = async (
  options: FaultRunsOptions,
): Promise<FaultRunsResult> => {
  const calls: CallRecord[] = [];
  const violations: Violation[] = [];
  const faultNames: string[] = [];
  for (let first = 0; first < options.runs; first += runsPerFleet) {
    const count = Math.min(runsPerFleet, options.runs - first);
    const part = await runOnFleet(options, first, count);
    calls.push(...part.calls);
    violations.push(...part.violations);
    faultNames.push(...part.faultNames);
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

/** What the runs on one fleet gave. */
interface FleetRuns {
  readonly calls: readonly CallRecord[];
  readonly violations: readonly Violation[];
  readonly faultNames: readonly string[];
}

const runOnFleet = async (
  options: FaultRunsOptions,
  first: number,
  count: number,
): Promise<FleetRuns> => {
  const fleet = new RouterFleet(faultFleetOptions);
  const calls: CallRecord[] = [];
  const faultNames: string[] = [];
  try {
    await fleet.start();
    for (let run = first; run < first + count; run += 1) {
      const numbers = new SeededNumbers(options.seed * 1_000 + run);
      const plan = makeFaultPlan(fleet, numbers, 2 - (run % 2));
      const names = plan.map(planned => planned.fault.name);
      options.report(`run ${String(run)}: ${names.join(', ')}`);
      const name = `seed${String(options.seed)}-run${String(run)}`;
      const shape = { name, ...callsPerRun, ...callTimes };
      const [answered] = await Promise.all([
        runRecordedLoad(fleet, shape, numbers),
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

/** Waits until every entry reaches every server again. */
const waitUntilSettled = async (fleet: RouterFleet): Promise<void> => {
  await waitUntil(
    'the fleet is whole again',
    () => fleet.isWhole(),
    settleTimeoutMs,
  );
  await waitFor(settleMs);
};

const benchRuns = 200;

export class FaultsBench extends Bench {
  override readonly name = 'faults';
  override readonly summary =
    'requests accounted for in 200 seeded runs under faults, alone and in pairs';
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
