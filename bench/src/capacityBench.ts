/**
 * Measures CPU time per token and memory of an entry and an agent, and
 * extrapolates both to a full-size deployment.
 *
 * The baseline is the same fleet with timeline, ledger and metrics off.
 */
import { readFileSync } from 'node:fs';
import {
  DaemonPath,
  RouterFleet,
  defaultFleetOptions,
  streamCompletion,
  type FleetProcess,
} from '@lycheetally/testkit';
import { computeLinearFit, type LinearFit } from './linearFit.js';
import { measureRecordBytes } from './recordMemory.js';
import { readCpuMicroseconds } from './relayBench.js';
import { Bench, type BenchOptions } from './types.js';

const tokensPerStream = 200;
const sizes = [8, 16, 32] as const;
const roundCount = 6;
const bytesPerKibibyte = 1_024;
const kibibytesPerMebibyte = 1_024;
const microsecondsPerSecond = 1_000_000;

/** The deployment size that the system is designed for. */
const fullSize = {
  entries: 800,
  agents: 2_800,
  tokensPerSecond: 6_200_000,
  requestsPerSecond: 23_000,
  secondsBetweenTokens: 0.06,
} as const;

const disabledOperations = {
  timelineEvents: 0,
  ledgerRecords: 0,
  ledgerLines: 'off',
  metrics: 'off',
} as const;

/** CPU time and memory of one round. */
interface RoundMeasurement {
  readonly tokens: number;
  readonly streams: number;
  /** CPU time of the entry and of the agent, in microseconds. */
  readonly entryCpu: number;
  readonly agentCpu: number;
  readonly entryRss: number;
  readonly agentRss: number;
}

/** Reads the resident memory of a process, in MiB. */
const readRss = (target: FleetProcess): number => {
  const status = readFileSync(
    `/proc/${String(target.child.pid ?? 0)}/status`,
    'utf8',
  );
  const kibibytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
  return Number(kibibytes) / kibibytesPerMebibyte;
};

const readCpu = (target: FleetProcess): number =>
  readCpuMicroseconds(target.child.pid ?? 0);

class MeasuredFleet {
  readonly fleet: RouterFleet;

  constructor(hasOperations: boolean) {
    this.fleet = new RouterFleet({
      ...defaultFleetOptions,
      stages: 1,
      stepMs: 1,
      slots: 64,
      plainServers: 0,
      ...(hasOperations ? {} : { operations: disabledOperations }),
    });
  }

  get entry(): FleetProcess {
    return this.fleet.processes.getProcess('entry-0');
  }

  get agent(): FleetProcess {
    return this.fleet.processes.getProcess('agent-stage0-0');
  }

  /** Runs `streams` completions concurrently and measures the entry and the agent. */
  async measureRound(streams: number): Promise<RoundMeasurement> {
    const { entry, agent } = this;
    const before = { entry: readCpu(entry), agent: readCpu(agent) };
    const url = this.fleet.entryUrls[0] ?? '';
    const answers = await Promise.all(
      Array.from({ length: streams }, (_, index) =>
        streamCompletion(url, `capacity ${String(index)}`, tokensPerStream),
      ),
    );
    const incomplete = answers.find(answer => answer.outcome !== 'complete');
    if (incomplete) {
      throw new Error(`A stream ended with ${JSON.stringify(incomplete)}`);
    }
    return {
      tokens: streams * tokensPerStream,
      streams,
      entryCpu: readCpu(entry) - before.entry,
      agentCpu: readCpu(agent) - before.agent,
      entryRss: readRss(entry),
      agentRss: readRss(agent),
    };
  }
}

const computeCpuFit = (
  figures: readonly RoundMeasurement[],
  key: 'entryCpu' | 'agentCpu',
): LinearFit =>
  computeLinearFit(figures.map(round => ({ x: round.tokens, y: round[key] })));

const computeCpuPerToken = (figures: readonly RoundMeasurement[]): number => {
  const cpu = figures.reduce(
    (sum, round) => sum + round.entryCpu + round.agentCpu,
    0,
  );
  return cpu / figures.reduce((sum, round) => sum + round.tokens, 0);
};

/** Returns the milliseconds from the start of an entry process to its ready line. */
const measureStartupTime = async (fleet: RouterFleet): Promise<number> => {
  const startedAt = performance.now();
  await fleet.processes.startDaemon('entry-timed', DaemonPath.Entry, {
    process: { id: 'entry-timed', failureDomain: 'a' },
    listen: { callers: '127.0.0.1:0', operators: '127.0.0.1:0' },
    platform: { log: fleet.logUrl, vmList: fleet.vmListUrl },
  });
  return performance.now() - startedAt;
};

export class CapacityBench extends Bench {
  override readonly name = 'capacity';
  override readonly summary =
    'CPU microseconds per token with timeline, ledger and metrics on, compared with off; slopes and full size';
  override readonly unit = 'CPU µs/token';

  protected override async measure({ report }: BenchOptions): Promise<{
    baseline: number;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const on = new MeasuredFleet(true);
    const off = new MeasuredFleet(false);
    try {
      report(
        'Starting two fleets, with timeline, ledger and metrics on and off',
      );
      await on.fleet.start();
      await off.fleet.start();
      const startMs = await measureStartupTime(on.fleet);
      const idle = { entry: readRss(on.entry), agent: readRss(on.agent) };
      await on.measureRound(sizes[0]);
      await off.measureRound(sizes[0]);
      const { onFigures, offFigures } = await measureSizes(on, off, report);
      const detail = describeCapacity(onFigures, idle, startMs);
      const ours = computeCpuPerToken(onFigures);
      return { baseline: computeCpuPerToken(offFigures), ours, detail };
    } finally {
      await Promise.all([on.fleet.dispose(), off.fleet.dispose()]);
    }
  }
}

/** Alternates between the fleets, so that other load on the host affects both equally. */
const measureSizes = async (
  on: MeasuredFleet,
  off: MeasuredFleet,
  report: BenchOptions['report'],
): Promise<{
  onFigures: RoundMeasurement[];
  offFigures: RoundMeasurement[];
}> => {
  const onFigures: RoundMeasurement[] = [];
  const offFigures: RoundMeasurement[] = [];
  for (let round = 1; round <= roundCount; round += 1) {
    for (const streams of sizes) {
      onFigures.push(await on.measureRound(streams));
      offFigures.push(await off.measureRound(streams));
    }
    report(`Round ${String(round)} of ${String(roundCount)} done`);
  }
  return { onFigures, offFigures };
};

const describeCapacity = (
  figures: readonly RoundMeasurement[],
  idle: { readonly entry: number; readonly agent: number },
  startMs: number,
): Record<string, unknown> => {
  const entry = computeCpuFit(figures, 'entryCpu');
  const agent = computeCpuFit(figures, 'agentCpu');
  const entryTokens = fullSize.tokensPerSecond / fullSize.entries;
  const agentTokens = fullSize.tokensPerSecond / fullSize.agents;
  const tokensPerRequest =
    fullSize.tokensPerSecond / fullSize.requestsPerSecond;
  const requests = fullSize.requestsPerSecond / fullSize.entries;
  const bytes = measureRecordBytes();
  return {
    sizes,
    slopes: {
      entryCpuMicrosecondsPerToken: entry.slope,
      agentCpuMicrosecondsPerToken: agent.slope,
      eventBytes: bytes.event,
      outcomeRecordBytes: bytes.outcome,
    },
    memoryMiB: {
      entryIdle: idle.entry,
      agentIdle: idle.agent,
      entryLoaded: Math.max(...figures.map(round => round.entryRss)),
      agentLoaded: Math.max(...figures.map(round => round.agentRss)),
    },
    startMs,
    fullSize: {
      entryTokensPerSecond: entryTokens,
      entryCores: (entry.slope * entryTokens) / microsecondsPerSecond,
      agentTokensPerSecondAndStage: agentTokens,
      agentCoresPerStage: (agent.slope * agentTokens) / microsecondsPerSecond,
      openRequestsPerEntry:
        requests * tokensPerRequest * fullSize.secondsBetweenTokens,
      ledgerMinutesInMaxRecords: 50_000 / requests / 60,
      ledgerMiB: toMebibytes(50_000 * bytes.outcome),
      timelineMiB: toMebibytes(20_000 * bytes.event),
    },
  };
};

const toMebibytes = (bytes: number): number =>
  bytes / bytesPerKibibyte / kibibytesPerMebibyte;
