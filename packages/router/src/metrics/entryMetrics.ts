/** Metrics of an entry: rate, errors and duration by rank and service, and its configuration. */
import { DisposableStore, type Milliseconds } from '@lycheetally/common';
import { Counter, Histogram, type Registry } from 'prom-client';
import type { EventLog } from '../eventLog.js';
import type { OutcomeLedger } from '../ledger/outcomeLedger.js';
import type { OutcomeRecord } from '../ledger/outcomeRecord.js';
import { LabelLimiter } from './labelLimiter.js';
import {
  addGauge,
  maxRankLabels,
  metricPrefix,
  secondsBuckets,
} from './nodeMetrics.js';

const maxServiceLabels = 64;
const maxErrorLabels = 64;
const millisecondsPerSecond = 1_000;

/** Label value of requests that were refused before their rank was known. */
const noneLabel = 'none';

/** Values that the gauges of an entry report. */
export interface EntryGauges {
  readonly getNow: () => Milliseconds;
  countOpenRequests(): number;
  countConnectedMembers(): number;
  countMembers(): number;
  countDroppedTokens(): number;
  countDeliveredTokens(): number;
}

export class EntryMetrics {
  readonly store = new DisposableStore();
  private readonly ranks = new LabelLimiter(maxRankLabels);
  private readonly services = new LabelLimiter(maxServiceLabels);
  private readonly errors = new LabelLimiter(maxErrorLabels);
  private readonly requests: Counter<'rank' | 'service' | 'outcome'>;
  private readonly durations: Histogram<'rank' | 'service'>;
  private readonly firstTokens: Histogram<'rank' | 'service'>;
  private readonly incompleteRequests: Counter<'reason'>;
  private readonly retries: Counter<'rank'>;
  private readonly tokens: Counter<'direction'>;
  private configVersion = 0;
  private configActiveSince: Milliseconds | undefined;

  constructor(
    registry: Registry,
    ledger: OutcomeLedger,
    events: EventLog,
    private readonly gauges: EntryGauges,
  ) {
    const registers = [registry];
    this.requests = new Counter({
      name: `${metricPrefix}requests_total`,
      help: 'Requests that ended, by rank, service and outcome',
      labelNames: ['rank', 'service', 'outcome'],
      registers,
    });
    this.durations = new Histogram({
      name: `${metricPrefix}request_duration_seconds`,
      help: 'Time from arrival to the outcome',
      labelNames: ['rank', 'service'],
      buckets: secondsBuckets,
      registers,
    });
    this.firstTokens = new Histogram({
      name: `${metricPrefix}first_token_seconds`,
      help: 'Time from arrival to the first token',
      labelNames: ['rank', 'service'],
      buckets: secondsBuckets,
      registers,
    });
    this.incompleteRequests = new Counter({
      name: `${metricPrefix}incomplete_total`,
      help: 'Requests that did not complete, by the kind of error told',
      labelNames: ['reason'],
      registers,
    });
    this.retries = new Counter({
      name: `${metricPrefix}retries_total`,
      help: 'Attempts after the first',
      labelNames: ['rank'],
      registers,
    });
    this.tokens = new Counter({
      name: `${metricPrefix}tokens_total`,
      help: 'Tokens of ended requests, in from callers and out to them',
      labelNames: ['direction'],
      registers,
    });
    this.addGauges(registry);
    this.store.add(
      ledger.written.subscribe(record => {
        this.recordOutcome(record);
      }),
    );
    this.store.add(
      events.recorded.subscribe(event => {
        if (event.kind === 'config-in-force') {
          this.configVersion = Number(event.detail?.version ?? 0);
          this.configActiveSince = gauges.getNow();
        }
      }),
    );
  }

  private addGauges(registry: Registry): void {
    const { gauges } = this;
    const add = (name: string, help: string, read: () => number): void => {
      addGauge(registry, name, help, read);
    };
    add('open_requests', 'Requests without an outcome yet', () =>
      gauges.countOpenRequests(),
    );
    add('members', 'Agents on the VM list', () => gauges.countMembers());
    add('members_connected', 'Agents with an open connection', () =>
      gauges.countConnectedMembers(),
    );
    add('tokens_delivered', 'Tokens sent to callers since the start', () =>
      gauges.countDeliveredTokens(),
    );
    add(
      'tokens_dropped',
      'Late, crossed or doubled tokens dropped since the start',
      () => gauges.countDroppedTokens(),
    );
    add(
      'config_version',
      'Version in force; 0 for none',
      () => this.configVersion,
    );
    add('config_age_seconds', 'Time since the version came into force', () =>
      this.configActiveSince === undefined
        ? 0
        : (gauges.getNow() - this.configActiveSince) / millisecondsPerSecond,
    );
  }

  private recordOutcome(record: OutcomeRecord): void {
    const isKnown = record.rank !== '';
    const rank = isKnown ? this.ranks.toLabel(record.rank) : noneLabel;
    const service = isKnown ? this.services.toLabel(record.service) : noneLabel;
    this.requests.inc({ rank, service, outcome: record.outcome });
    const duration = record.endedAt - record.receivedAt;
    this.durations.observe({ rank, service }, duration / millisecondsPerSecond);
    if (record.firstTokenAt !== undefined) {
      const wait = record.firstTokenAt - record.receivedAt;
      this.firstTokens.observe({ rank, service }, wait / millisecondsPerSecond);
    }
    if (record.errorKind !== '') {
      this.incompleteRequests.inc({
        reason: this.errors.toLabel(record.errorKind),
      });
    }
    this.retries.inc({ rank }, Math.max(0, record.attempts - 1));
    this.tokens.inc({ direction: 'in' }, record.tokensIn);
    this.tokens.inc({ direction: 'out' }, record.tokensOut);
  }
}
