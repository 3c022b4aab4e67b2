/** Compares the callers' results with the entries' outcome ledgers, request by request. */
import type { Result } from '@lycheetally/common';
import {
  formatQuery,
  ledgerPageSchema,
  readOperatorsPage,
  type LedgerPage,
} from '@lycheetally/router';
import { Ending } from './loadCaller.js';
import type { LoadSample } from './loadSample.js';

type LedgerRecord = LedgerPage['records'][number];

/** The records read from the ledgers. */
export interface LedgerReading {
  readonly records: readonly LedgerRecord[];
  /** An error message for each ledger that could not be read. */
  readonly errors: readonly string[];
  /** Number of records that the ledgers had already discarded. */
  readonly dropped: number;
}

/** The totals of the callers or of the ledgers. */
export interface LedgerTotals {
  readonly requests: number;
  readonly tokens: number;
  readonly outcomes: Readonly<Record<string, number>>;
}

/** The comparison of the callers' results with the ledgers. */
export interface Reconciliation {
  readonly compared: number;
  readonly agreed: number;
  /** Descriptions of the first `maxDifferences` differences. */
  readonly differences: readonly string[];
  readonly differenceCount: number;
  /** Number of requests whose caller received no outcome, by their outcome in the ledger. */
  readonly settledByLedger: Readonly<Record<string, number>>;
  readonly callers: LedgerTotals;
  readonly ledger: LedgerTotals;
  readonly ledgerFaults: readonly string[];
  readonly isExact: boolean;
}

const maxDifferences = 20;

/** Reads all records since a time whose caller request id has the prefix. */
export const readLedgers = async (
  operators: readonly string[],
  since: number,
  prefix: string,
): Promise<LedgerReading> => {
  const readings = await Promise.all(
    operators.map(address => readLedger(address, since)),
  );
  return {
    records: readings
      .flatMap(reading => reading.records)
      .filter(record => record.callerRequestId.startsWith(prefix)),
    errors: readings.flatMap(reading => reading.errors),
    dropped: readings.reduce((sum, reading) => sum + reading.dropped, 0),
  };
};

const readLedger = async (
  address: string,
  since: number,
): Promise<LedgerReading> => {
  const records: LedgerRecord[] = [];
  let after: number | undefined = 0;
  let dropped = 0;
  while (after !== undefined) {
    const read = await readLedgerPage(address, since, after);
    if (read.err) {
      return { records, errors: [read.val.message], dropped };
    }
    records.push(...read.val.records);
    dropped = read.val.dropped;
    after = read.val.next;
  }
  return { records, errors: [], dropped };
};

const readLedgerPage = (
  address: string,
  since: number,
  after: number,
): Promise<Result<LedgerPage>> =>
  readOperatorsPage(
    address,
    `/v1/admin/ledger${formatQuery({ since: since - clockMarginMs, after })}`,
    ledgerPageSchema,
  );

/** Milliseconds by which an entry's clock may lag behind the clock of this process. */
const clockMarginMs = 600_000;

export const reconcileLedger = (
  samples: readonly LoadSample[],
  reading: LedgerReading,
): Reconciliation => {
  const byId = indexRecords(reading.records);
  const settledByLedger: Record<string, number> = {};
  const differences: string[] = [];
  for (const sample of samples) {
    const records = byId.get(sample.callerRequestId) ?? [];
    byId.delete(sample.callerRequestId);
    const difference = compareSample(sample, records);
    if (difference !== undefined) {
      differences.push(difference);
      continue;
    }
    const [record] = records;
    if (record && sample.ending === Ending.Lost) {
      settledByLedger[record.outcome] =
        (settledByLedger[record.outcome] ?? 0) + 1;
    }
  }
  for (const id of byId.keys()) {
    differences.push(`${id}: the ledger has a record that no caller asked for`);
  }
  return {
    compared: samples.length,
    agreed: samples.length - Math.min(samples.length, differences.length),
    differences: differences.slice(0, maxDifferences),
    differenceCount: differences.length,
    settledByLedger,
    callers: countSamples(samples),
    ledger: countRecords(reading.records),
    ledgerFaults: reading.errors,
    isExact: differences.length === 0 && reading.errors.length === 0,
  };
};

const indexRecords = (
  records: readonly LedgerRecord[],
): Map<string, LedgerRecord[]> => {
  const byId = new Map<string, LedgerRecord[]>();
  for (const record of records) {
    const known = byId.get(record.callerRequestId);
    if (known) {
      known.push(record);
    } else {
      byId.set(record.callerRequestId, [record]);
    }
  }
  return byId;
};

const compareSample = (
  sample: LoadSample,
  records: readonly LedgerRecord[],
): string | undefined => {
  const id = sample.callerRequestId;
  const [record] = records;
  if (sample.ending === Ending.Unreached) {
    return record
      ? `${id}: unreached for its caller, but in the ledger`
      : undefined;
  }
  if (!record) {
    return `${id}: ${sample.ending} for its caller, but not in the ledger`;
  }
  if (records.length > 1) {
    return `${id}: ${String(records.length)} records in the ledger`;
  }
  return compareFields(sample, record);
};

const compareFields = (
  sample: LoadSample,
  record: LedgerRecord,
): string | undefined => {
  const id = sample.callerRequestId;
  if (record.account !== sample.account) {
    return `${id}: account ${sample.account}, in the ledger ${record.account}`;
  }
  // A caller whose connection broke knows neither the outcome nor the token count.
  if (sample.ending === Ending.Lost) {
    return undefined;
  }
  if (record.outcome !== sample.ending) {
    return `${id}: ${sample.ending} for its caller, ${record.outcome} in the ledger`;
  }
  return record.tokensOut === sample.tokens
    ? undefined
    : `${id}: ${String(sample.tokens)} tokens for its caller, ${String(record.tokensOut)} in the ledger`;
};

const countSamples = (samples: readonly LoadSample[]): LedgerTotals => ({
  requests: samples.length,
  tokens: samples.reduce((sum, sample) => sum + sample.tokens, 0),
  outcomes: countBy(samples.map(sample => sample.ending)),
});

const countRecords = (records: readonly LedgerRecord[]): LedgerTotals => ({
  requests: records.length,
  tokens: records.reduce((sum, record) => sum + record.tokensOut, 0),
  outcomes: countBy(records.map(record => record.outcome)),
});

/** Counts how often each name occurs. */
export const countBy = (
  names: readonly string[],
): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const name of names) {
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
};
