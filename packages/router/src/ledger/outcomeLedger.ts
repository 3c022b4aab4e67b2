/**
 * The outcome ledger of one process: one record for each request that ended.
 *
 * Records are bounded by age and number. Dropped records are counted, so that a
 * reader can tell whether its sums are complete.
 */
import {
  Emitter,
  ErrorKind,
  TypedError,
  type Milliseconds,
} from '@lycheetally/common';
import type {
  LedgerPage,
  NewOutcomeRecord,
  OutcomeRecord,
} from './outcomeRecord.js';

/** Bounds of a ledger. */
export interface LedgerLimits {
  /** The most records that are kept; 0 keeps none. */
  readonly maxRecords: number;
  readonly retentionMs: Milliseconds;
}

/** Filter and page of a ledger read; an absent field matches everything. */
export interface LedgerQuery {
  readonly request?: string | undefined;
  readonly account?: string | undefined;
  readonly rank?: string | undefined;
  readonly service?: string | undefined;
  readonly outcome?: string | undefined;
  /** Records that ended at or after this time. */
  readonly since?: Milliseconds | undefined;
  /** Records after this sequence. */
  readonly after?: number | undefined;
  /** Records in one page. */
  readonly limit?: number | undefined;
}

/** Default and largest number of records in a page. */
const maxPageRecords = 5_000;

export class OutcomeLedger {
  /** Emits each record as it is written. */
  readonly written = new Emitter<OutcomeRecord>();
  private records: OutcomeRecord[] = [];
  private firstKeptIndex = 0;
  private writtenCount = 0;

  constructor(
    private readonly processId: string,
    private readonly limits: LedgerLimits,
  ) {}

  /** Numbers a record, keeps it and emits it. */
  append(record: NewOutcomeRecord): void {
    this.writtenCount += 1;
    const numbered = { sequence: this.writtenCount, ...record };
    this.records.push(numbered);
    this.trim(record.endedAt);
    this.written.emit(numbered);
  }

  /** Reads a page of the kept records that match, oldest first. */
  readPage(query: LedgerQuery, now: Milliseconds): LedgerPage {
    this.trim(now);
    const limit = Math.min(query.limit ?? maxPageRecords, maxPageRecords);
    const records: OutcomeRecord[] = [];
    let next: number | undefined;
    for (const record of this.listKept()) {
      if (!matchesQuery(record, query)) {
        continue;
      }
      if (records.length === limit) {
        next = records.at(-1)?.sequence;
        break;
      }
      records.push(record);
    }
    return {
      process: this.processId,
      records: records.map(record => ({
        ...record,
        servers: [...record.servers],
      })),
      ...(next === undefined ? {} : { next }),
      written: this.writtenCount,
      dropped: this.writtenCount - this.size,
    };
  }

  /** Records that are kept. */
  get size(): number {
    return this.records.length - this.firstKeptIndex;
  }

  private listKept(): OutcomeRecord[] {
    return this.records.slice(this.firstKeptIndex);
  }

  private trim(now: Milliseconds): void {
    const earliestKeptEnd = now - this.limits.retentionMs;
    while (this.size > 0 && this.isSurplus(earliestKeptEnd)) {
      this.firstKeptIndex += 1;
    }
    // Compacting only when half of the array is dropped keeps the amortized cost of an append constant.
    if (this.firstKeptIndex > this.size) {
      this.records = this.listKept();
      this.firstKeptIndex = 0;
    }
  }

  private isSurplus(earliestKeptEnd: Milliseconds): boolean {
    const record = this.records[this.firstKeptIndex];
    return (
      this.size > this.limits.maxRecords ||
      (record !== undefined && record.endedAt < earliestKeptEnd)
    );
  }
}

const matchesQuery = (record: OutcomeRecord, query: LedgerQuery): boolean =>
  matchesText(query.account, record.account) &&
  matchesText(query.rank, record.rank) &&
  matchesText(query.service, record.service) &&
  matchesText(query.outcome, record.outcome) &&
  record.sequence > (query.after ?? 0) &&
  record.endedAt >= (query.since ?? 0) &&
  (query.request === undefined ||
    query.request === record.requestId ||
    query.request === record.callerRequestId);

const matchesText = (wanted: string | undefined, value: string): boolean =>
  wanted === undefined || wanted === value;

/** Reads a query from the parameters of a URL. Throws `BadRequest`. */
export const parseLedgerQuery = (parameters: URLSearchParams): LedgerQuery => ({
  request: parameters.get('request') ?? undefined,
  account: parameters.get('account') ?? undefined,
  rank: parameters.get('rank') ?? undefined,
  service: parameters.get('service') ?? undefined,
  outcome: parameters.get('outcome') ?? undefined,
  since: parseNumber(parameters, 'since'),
  after: parseNumber(parameters, 'after'),
  limit: parseNumber(parameters, 'limit'),
});

/** Reads a whole number from the parameters of a URL. Throws `BadRequest`. */
export const parseNumber = (
  parameters: URLSearchParams,
  name: string,
): number | undefined => {
  const text = parameters.get(name);
  if (text === null) {
    return undefined;
  }
  if (!/^\d{1,15}$/.test(text)) {
    throw new TypedError(
      ErrorKind.BadRequest,
      `parameter ${name} is not a whole number`,
      'write it in digits',
    );
  }
  return Number(text);
};
