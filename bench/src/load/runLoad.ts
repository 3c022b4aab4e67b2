/** Runs an experiment against a deployment or a fleet of stand-ins. */
import {
  RouterFleet,
  defaultFleetOptions,
  getAccountKey,
  waitFor,
  type FleetOptions,
} from '@lycheetally/testkit';
import { planArrivals, type Arrival } from './arrivals.js';
import {
  FaultAction,
  checkExperiment,
  listAccounts,
  type Experiment,
} from './experiment.js';
import { LoadCaller } from './loadCaller.js';
import { buildReport, type LoadReport } from './loadReport.js';
import type { LoadSample } from './loadSample.js';
import { readLedgers, reconcileLedger } from './reconcile.js';

/** The entries that receive the load, and access to them. */
interface LoadTarget {
  readonly entryUrls: readonly string[];
  readonly operators: readonly string[];
  getKey(account: string): string;
}

/** Writes a line of progress. */
export type ProgressPrinter = (line: string) => void;

const progressIntervalMs = 5_000;
const millisecondsPerSecond = 1_000;

const signals = {
  [FaultAction.Kill]: 'SIGKILL',
  [FaultAction.Stop]: 'SIGTERM',
  [FaultAction.Freeze]: 'SIGSTOP',
  [FaultAction.Thaw]: 'SIGCONT',
} as const satisfies Record<FaultAction, NodeJS.Signals>;

/** Runs an experiment until its last response has ended. Throws `BadSetting`. */
export const runLoad = async (
  experiment: Experiment,
  print: ProgressPrinter,
): Promise<LoadReport> => {
  checkExperiment(experiment);
  const { entries, operators } = experiment.experiment;
  if (entries.length > 0) {
    const getKey = (account: string): string => experiment.keys[account] ?? '';
    const target = { entryUrls: entries, operators, getKey };
    return runAgainstTarget(target, experiment, print, undefined);
  }
  return runOnStandInFleet(experiment, print);
};

const runOnStandInFleet = async (
  experiment: Experiment,
  print: ProgressPrinter,
): Promise<LoadReport> => {
  const fleet = new RouterFleet(createFleetOptions(experiment));
  try {
    print('Starting a fleet of stand-ins');
    await fleet.start();
    const operators = fleet.processes
      .listProcesses()
      .filter(process => process.addresses.callers !== undefined)
      .map(process => process.addresses.operators ?? '');
    const target = {
      entryUrls: fleet.entryUrls,
      operators,
      getKey: getAccountKey,
    };
    return await runAgainstTarget(target, experiment, print, fleet);
  } finally {
    await fleet.dispose();
  }
};

const createFleetOptions = (experiment: Experiment): FleetOptions => {
  const { model, booking, stock, ranks, ...sizes } = experiment.fleet;
  const accounts = listAccounts(experiment);
  const names = { model, booking, stock, ranks, accounts };
  return { ...defaultFleetOptions, ...sizes, names };
};

const runAgainstTarget = async (
  target: LoadTarget,
  experiment: Experiment,
  print: ProgressPrinter,
  fleet: RouterFleet | undefined,
): Promise<LoadReport> => {
  const arrivals = planArrivals(experiment);
  const wallClockStart = Date.now();
  const run = new LoadRun(target, experiment, arrivals, wallClockStart);
  const faultTimers = fleet ? scheduleFaults(fleet, experiment, print) : [];
  const progressTimer = setInterval(() => {
    print(run.describe());
  }, progressIntervalMs);
  const samples = await run.send();
  clearInterval(progressTimer);
  faultTimers.forEach(timer => {
    clearTimeout(timer);
  });
  print(run.describe());
  const reading = await readLedgers(
    target.operators,
    wallClockStart,
    run.prefix,
  );
  const ledger =
    target.operators.length > 0 ? reconcileLedger(samples, reading) : null;
  return buildReport(experiment, arrivals.length, samples, ledger);
};

const scheduleFaults = (
  fleet: RouterFleet,
  experiment: Experiment,
  print: ProgressPrinter,
): NodeJS.Timeout[] =>
  Object.values(experiment.fault).map(fault =>
    setTimeout(() => {
      print(`Fault: ${fault.action} ${fault.process}`);
      fleet.processes.sendSignal(fault.process, signals[fault.action]);
    }, fault.atSeconds * millisecondsPerSecond),
  );

class LoadRun {
  /** Prefix of the caller request ids of this run. */
  readonly prefix: string;
  private readonly caller = new LoadCaller();
  private sent = 0;
  private ended = 0;

  constructor(
    private readonly target: LoadTarget,
    private readonly experiment: Experiment,
    private readonly arrivals: readonly Arrival[],
    wallClockStart: number,
  ) {
    const { name, seed } = experiment.experiment;
    this.prefix = `${name}-${String(seed)}-${wallClockStart.toString(36)}-`;
  }

  describe(): string {
    return `${String(this.sent)} of ${String(this.arrivals.length)} requests sent, ${String(this.ended)} ended`;
  }

  /** Sends each request at its planned time and waits for all responses. */
  async send(): Promise<LoadSample[]> {
    const startedAt = performance.now();
    const pending: Promise<LoadSample>[] = [];
    for (const arrival of this.arrivals) {
      const waitMs = startedAt + arrival.atMs - performance.now();
      if (waitMs > 0) {
        await waitFor(waitMs);
      }
      pending.push(this.sendOne(arrival, startedAt));
    }
    const samples = await Promise.all(pending);
    this.caller.dispose();
    return samples;
  }

  private async sendOne(
    arrival: Arrival,
    startedAt: number,
  ): Promise<LoadSample> {
    const traffic = this.experiment.traffic[arrival.traffic];
    const { entryUrls } = this.target;
    const entryUrl = entryUrls[arrival.number % entryUrls.length];
    if (!traffic || entryUrl === undefined) {
      throw new Error(`Arrival ${String(arrival.number)} has no traffic`);
    }
    const callerRequestId = `${this.prefix}${String(arrival.number)}`;
    const plannedAt = startedAt + arrival.atMs;
    const lateMs = performance.now() - plannedAt;
    const bearerKey = this.target.getKey(arrival.account);
    this.sent += 1;
    const answer = await this.caller.send({
      entryUrl,
      callerRequestId,
      bearerKey,
      traffic,
    });
    this.ended += 1;
    return {
      ...answer,
      callerRequestId,
      account: arrival.account,
      rank: traffic.rank,
      service: traffic.service,
      phase: arrival.phase,
      plannedMs: arrival.atMs,
      lateMs,
      firstTokenMs:
        answer.firstTokenAt === undefined
          ? undefined
          : answer.firstTokenAt - plannedAt,
      totalMs: answer.endedAt - plannedAt,
    };
  }
}
