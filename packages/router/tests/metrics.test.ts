/** Metrics stay bounded and well formed for any input from callers. */
import fc from 'fast-check';
import { Registry } from 'prom-client';
import { describe, expect, it } from 'vitest';
import {
  EventLog,
  LabelLimiter,
  OutcomeLedger,
  parseCall,
  type NewOutcomeRecord,
} from '../src/index.js';
import { EntryMetrics } from '../src/metrics/entryMetrics.js';
import { NodeMetrics } from '../src/metrics/nodeMetrics.js';

const createMetrics = (): {
  registry: Registry;
  ledger: OutcomeLedger;
  events: EventLog;
} => {
  const registry = new Registry();
  const limits = { maxRecords: 100, retentionMs: 1_000 };
  const ledger = new OutcomeLedger('entry-1', limits);
  const events = new EventLog('entry-1', 10);
  new NodeMetrics(registry, events, () => true);
  new EntryMetrics(registry, ledger, events, {
    getNow: () => 5_000,
    countOpenRequests: () => 1,
    countConnectedMembers: () => 2,
    countMembers: () => 3,
    countDroppedTokens: () => 4,
    countDeliveredTokens: () => 5,
  });
  return { registry, ledger, events };
};

const createRecord = (change: Partial<NewOutcomeRecord>): NewOutcomeRecord => ({
  requestId: 'e.1',
  callerRequestId: '',
  account: 'depot-north',
  rank: 'family',
  service: 'pickup-assistant',
  outcome: 'complete',
  errorKind: '',
  tokensIn: 3,
  tokensOut: 8,
  attempts: 2,
  servers: [],
  receivedAt: 1_000,
  firstTokenAt: 1_040,
  endedAt: 1_200,
  ...change,
});

const hostileText = fc.string({ unit: 'binary', maxLength: 60 });
const linePattern =
  /^(#.*|[a-z_]+(\{[a-z_]+="[^"\\\n]*"(,[a-z_]+="[^"\\\n]*")*\})? [-+.e\d]+)$/;

describe('the metrics page', () => {
  it('counts rate, errors and duration by rank and service', async () => {
    const { registry, ledger, events } = createMetrics();
    ledger.append(createRecord({}));
    ledger.append(createRecord({ outcome: 'not-run', errorKind: 'leaving' }));
    events.record('config-in-force', 1, { detail: { version: 7 } });
    events.record('work-started', 1, {
      detail: { stage: 0, rank: 'family', waitedMs: 30 },
    });
    const page = await registry.metrics();
    for (const line of [
      'lycheetally_requests_total{rank="family",service="pickup-assistant",outcome="complete"} 1',
      'lycheetally_first_token_seconds_bucket{le="0.05",rank="family",service="pickup-assistant"} 2',
      'lycheetally_incomplete_total{reason="leaving"} 1',
      'lycheetally_retries_total{rank="family"} 2',
      'lycheetally_config_version 7',
      'lycheetally_tokens_dropped 4',
      'lycheetally_queue_delay_seconds_count{rank="family"} 1',
    ]) {
      expect(page).toContain(`${line}\n`);
    }
  });

  it('keeps its lines well formed and its labels bounded under hostile values', async () => {
    const { registry, ledger, events } = createMetrics();
    fc.assert(
      fc.property(hostileText, hostileText, hostileText, (a, b, c) => {
        ledger.append(createRecord({ rank: a, service: b }));
        ledger.append(createRecord({ rank: '', service: c }));
        events.record(a, 1, { requestId: b, detail: { [c]: a } });
        const detail = { stage: 0, rank: b, waitedMs: 1 };
        events.record('work-started', 1, { detail });
      }),
      { seed: 13, numRuns: 1_000 },
    );
    const lines = (await registry.metrics()).trim().split('\n');
    expect(
      lines.filter(line => line !== '' && !linePattern.test(line)),
    ).toEqual([]);
    expect(countLabels(lines, 'rank')).toBeLessThanOrEqual(18);
    expect(countLabels(lines, 'service')).toBeLessThanOrEqual(66);
    expect(countLabels(lines, 'kind')).toBeLessThanOrEqual(129);
  });
});

const countLabels = (lines: readonly string[], label: string): number => {
  const pattern = new RegExp(`[{,]${label}="([^"]*)"`);
  const own = lines.filter(line => !line.includes('queue_delay'));
  return new Set(own.map(line => pattern.exec(line)?.[1])).size - 1;
};

describe('LabelLimiter', () => {
  it('returns at most its limit of values, and "other" for the rest', () => {
    const limiter = new LabelLimiter(2);
    const labels = ['a', 'b', 'c', 'a', 'd\n'].map(value =>
      limiter.toLabel(value),
    );
    expect(labels).toEqual(['a', 'b', 'other', 'a', 'other']);
  });
});

describe('hostile requests', () => {
  it('are read or refused with a typed error, and never throw', () => {
    fc.assert(
      fc.property(
        fc.dictionary(
          fc.constantFrom(
            'authorization',
            'x-request-id',
            'x-lycheetally-rank',
            'x-lycheetally-deadline-ms',
            'idempotency-key',
            'content-type',
          ),
          hostileText,
        ),
        fc.oneof(hostileText, fc.json()),
        fc.constantFrom('/v1/completions', '/v1/services/x/y', '/'),
        (headers, body, path) => {
          const read = parseCall({
            method: 'POST',
            url: new URL(path, 'http://callers'),
            headers,
            body: Buffer.from(body),
          });
          if (read.err) {
            expect(read.val.remedy).not.toBe('');
            return;
          }
          const { callerRequestId, rank } = read.val.call;
          expect(`${callerRequestId ?? ''}${rank ?? ''}`).not.toMatch(
            /[^\x20-\x7e]/,
          );
        },
      ),
      { seed: 14, numRuns: 1_000 },
    );
  });
});
