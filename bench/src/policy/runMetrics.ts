/** Records the outcome of each request of a run and computes metrics from the records. */
import type { Milliseconds } from '@lycheetally/common';
import type { OfferedRequest } from './workload.js';

export class RequestRecord {
  readonly deadlineAt: Milliseconds;
  readonly avoided: string[] = [];
  attempts = 0;
  callerRetries = 0;
  generatedTokens = 0;
  refusedAt: Milliseconds | undefined;
  firstTokenAt: Milliseconds | undefined;
  finishedAt: Milliseconds | undefined;

  constructor(
    readonly request: OfferedRequest,
    readonly offeredAt: Milliseconds,
  ) {
    this.deadlineAt = request.deadlineAt;
  }

  /** Milliseconds from arrival to the first token, or to the deadline if there was none. */
  get firstTokenMs(): Milliseconds {
    return (this.firstTokenAt ?? this.deadlineAt) - this.offeredAt;
  }

  /** Milliseconds from arrival to the complete answer, or to the deadline if there was none. */
  get answerMs(): Milliseconds {
    return (this.finishedAt ?? this.deadlineAt) - this.offeredAt;
  }
}

const bucketMs = 500;
const millisecondsPerSecond = 1_000;

/** Says whether a record is selected. */
export type RecordFilter = (record: RequestRecord) => boolean;

export class RunMetrics {
  retries = 0;
  private readonly records: RequestRecord[] = [];
  private readonly tokenCountsByRank: Map<string, number[]> = new Map<
    string,
    number[]
  >();

  add(record: RequestRecord): void {
    this.records.push(record);
  }

  recordToken(record: RequestRecord, now: Milliseconds): void {
    record.generatedTokens += 1;
    record.firstTokenAt ??= now;
    const { rank } = record.request;
    const buckets = this.tokenCountsByRank.get(rank) ?? [];
    const bucket = Math.floor(now / bucketMs);
    buckets[bucket] = (buckets[bucket] ?? 0) + 1;
    this.tokenCountsByRank.set(rank, buckets);
  }

  listRequests(filter: RecordFilter): readonly RequestRecord[] {
    return this.records.filter(filter);
  }

  /** Returns the generated tokens per second between two times, for one rank or for all. */
  computeTokenRate(
    from: Milliseconds,
    until: Milliseconds,
    rank?: string,
  ): number {
    let sum = 0;
    for (const [name, buckets] of this.tokenCountsByRank) {
      if (rank !== undefined && rank !== name) {
        continue;
      }
      for (let at = from; at < until; at += bucketMs) {
        sum += buckets[Math.floor(at / bucketMs)] ?? 0;
      }
    }
    return (sum / (until - from)) * millisecondsPerSecond;
  }
}

/** Returns the quantile (0 to 1) of the values; 0 when there are none. */
export const computeQuantile = (
  values: readonly number[],
  quantile: number,
): number => {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(sorted.length * quantile) - 1;
  return sorted[Math.max(0, index)] ?? 0;
};

/** Returns the share of the records that satisfy the check; 1 when there are none. */
export const computeShare = (
  records: readonly RequestRecord[],
  check: RecordFilter,
): number =>
  records.length === 0 ? 1 : records.filter(check).length / records.length;

/** Returns Jain's fairness index of the values, from 1/n to 1. */
export const computeJainIndex = (values: readonly number[]): number => {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
};
