/** Numbering, bounds and paging of the outcome ledger. */
import { describe, expect, it } from 'vitest';
import {
  OutcomeLedger,
  parseLedgerQuery,
  type NewOutcomeRecord,
} from '../src/index.js';

const createRecord = (
  number: number,
  change: Partial<NewOutcomeRecord> = {},
): NewOutcomeRecord => ({
  requestId: `e.${String(number)}`,
  callerRequestId: `own-${String(number)}`,
  account: 'depot-north',
  rank: 'family',
  service: 'pickup-assistant',
  outcome: 'complete',
  errorKind: '',
  tokensIn: 3,
  tokensOut: 8,
  attempts: 1,
  servers: ['stage0-0'],
  receivedAt: number,
  endedAt: number,
  ...change,
});

const createLedger = (count: number, maxRecords = 1_000): OutcomeLedger => {
  const limits = { maxRecords, retentionMs: 1_000 };
  const ledger = new OutcomeLedger('entry-1', limits);
  for (let number = 1; number <= count; number += 1) {
    ledger.append(createRecord(number));
  }
  return ledger;
};

describe('OutcomeLedger', () => {
  it('keeps no more than its limit and counts what it dropped', () => {
    const ledger = createLedger(5_000, 100);
    const page = ledger.readPage({}, 5_000);
    expect(page.records).toHaveLength(100);
    expect(page.records[0]?.sequence).toBe(4_901);
    expect(page).toMatchObject({ written: 5_000, dropped: 4_900 });
  });

  it('drops records past their retention', () => {
    const page = createLedger(10).readPage({}, 1_006);
    expect(page.records.map(record => record.sequence)).toEqual([
      6, 7, 8, 9, 10,
    ]);
  });

  it('keeps nothing when its limit is 0, and still emits', () => {
    const ledger = createLedger(0, 0);
    const seen: number[] = [];
    ledger.written.subscribe(record => seen.push(record.sequence));
    ledger.append(createRecord(1));
    expect(seen).toEqual([1]);
    expect(ledger.readPage({}, 1).records).toEqual([]);
  });

  it('pages to the last record without a gap or a repeat', () => {
    const ledger = createLedger(25);
    const seen: number[] = [];
    let after: number | undefined = 0;
    while (after !== undefined) {
      const page = ledger.readPage({ after, limit: 10 }, 25);
      seen.push(...page.records.map(record => record.sequence));
      after = page.next;
    }
    expect(seen).toEqual(Array.from({ length: 25 }, (_, index) => index + 1));
  });

  it.each([
    ['request=e.3', [3]],
    ['request=own-4', [4]],
    ['account=nobody', []],
    ['outcome=complete&after=8', [9, 10]],
    ['since=9', [9, 10]],
  ])('answers %s', (text, sequences) => {
    const query = parseLedgerQuery(new URLSearchParams(text));
    const page = createLedger(10).readPage(query, 10);
    expect(page.records.map(record => record.sequence)).toEqual(sequences);
  });

  it('refuses a parameter that is not a whole number', () => {
    expect(() => parseLedgerQuery(new URLSearchParams('since=soon'))).toThrow(
      'parameter since is not a whole number',
    );
  });
});
