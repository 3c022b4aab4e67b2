/** Builds the report of a load run: counts, latencies and the comparison with the ledger. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Outcome } from '@lycheetally/decisions';
import type { Experiment } from './experiment.js';
import type { LoadSample } from './loadSample.js';
import { countBy, type Reconciliation } from './reconcile.js';

/** Percentiles of a latency, in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** The figures of the requests of one rank, account or phase. */
export interface LoadGroup {
  readonly name: string;
  readonly sent: number;
  readonly endings: Readonly<Record<string, number>>;
  /** From the planned time to the first token of complete answers. */
  readonly firstToken: Percentiles;
  /** From the planned time to the end of complete answers. */
  readonly total: Percentiles;
}

/** Requests of one rank planned for one second, and how many of them completed. */
export interface LoadPoint {
  readonly second: number;
  readonly rank: string;
  readonly sent: number;
  readonly complete: number;
}

export interface LoadReport {
  readonly name: string;
  readonly seed: number;
  readonly planned: number;
  readonly ended: number;
  readonly endings: Readonly<Record<string, number>>;
  readonly errors: Readonly<Record<string, number>>;
  readonly tokens: number;
  /** Whether every planned request has an ending. */
  readonly isAccounted: boolean;
  readonly ranks: readonly LoadGroup[];
  readonly accounts: readonly LoadGroup[];
  readonly phases: readonly LoadGroup[];
  readonly series: readonly LoadPoint[];
  /** Milliseconds between the planned and the actual send; included in every latency. */
  readonly lateness: Percentiles;
  readonly faults: readonly string[];
  /** `null` when no ledger was read. */
  readonly ledger: Reconciliation | null;
}

const maxLatencyMs = 86_400_000;
const millisecondsPerSecond = 1_000;

export const buildReport = (
  experiment: Experiment,
  planned: number,
  samples: readonly LoadSample[],
  ledger: Reconciliation | null,
): LoadReport => ({
  name: experiment.experiment.name,
  seed: experiment.experiment.seed,
  planned,
  ended: samples.length,
  endings: countBy(samples.map(sample => sample.ending)),
  errors: countBy(
    samples.flatMap(sample =>
      sample.errorKind === '' ? [] : [sample.errorKind],
    ),
  ),
  tokens: samples.reduce((sum, sample) => sum + sample.tokens, 0),
  isAccounted: samples.length === planned,
  ranks: buildGroups(samples, sample => sample.rank),
  accounts: buildGroups(samples, sample => sample.account),
  phases: buildGroups(samples, sample => sample.phase),
  series: buildSeries(samples),
  lateness: computePercentiles(samples.map(sample => sample.lateMs)),
  faults: Object.values(experiment.fault).map(
    fault => `${String(fault.atSeconds)} s: ${fault.action} ${fault.process}`,
  ),
  ledger,
});

const buildGroups = (
  samples: readonly LoadSample[],
  getName: (sample: LoadSample) => string,
): LoadGroup[] =>
  [...new Set(samples.map(getName))].sort().map(name =>
    buildGroup(
      name,
      samples.filter(sample => getName(sample) === name),
    ),
  );

const buildGroup = (
  name: string,
  samples: readonly LoadSample[],
): LoadGroup => {
  const complete = samples.filter(sample => sample.ending === Outcome.Complete);
  return {
    name,
    sent: samples.length,
    endings: countBy(samples.map(sample => sample.ending)),
    firstToken: computePercentiles(
      complete.flatMap(sample => sample.firstTokenMs ?? []),
    ),
    total: computePercentiles(complete.map(sample => sample.totalMs)),
  };
};

const computePercentiles = (values: readonly number[]): Percentiles => {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxLatencyMs * microsecondsPerMillisecond,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of values) {
    histogram.recordValue(
      Math.max(0, Math.round(value * microsecondsPerMillisecond)),
    );
  }
  const read = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  return {
    count: values.length,
    p50: read(50),
    p95: read(95),
    p99: read(99),
    max: values.length === 0 ? 0 : read(100),
  };
};

const microsecondsPerMillisecond = 1_000;

const buildSeries = (samples: readonly LoadSample[]): LoadPoint[] => {
  const points = new Map<string, LoadPoint>();
  for (const sample of samples) {
    const second = Math.floor(sample.plannedMs / millisecondsPerSecond);
    const { rank } = sample;
    const key = `${String(second)} ${rank}`;
    const point = points.get(key) ?? { second, rank, sent: 0, complete: 0 };
    points.set(key, {
      ...point,
      sent: point.sent + 1,
      complete: point.complete + (sample.ending === Outcome.Complete ? 1 : 0),
    });
  }
  return [...points.values()];
};
