/** Metrics common to all nodes, derived from the events that the node records. */
import { DisposableStore, type EventRecord } from '@lycheetally/common';
import {
  Counter,
  Gauge,
  Histogram,
  type CollectFunction,
  type Registry,
} from 'prom-client';
import type { EventLog } from '../eventLog.js';
import { LabelLimiter } from './labelLimiter.js';

/** Prefix of every metric of this project. */
export const metricPrefix = 'lycheetally_';

/** Maximum number of values of the label `rank`. */
export const maxRankLabels = 16;
/** Maximum number of values of the label `kind`. */
const maxKindLabels = 128;

const millisecondsPerSecond = 1_000;

/** Upper bounds of the histogram buckets, in seconds. */
export const secondsBuckets = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.2, 2.5, 5, 10, 30, 60,
];

/** Adds a gauge whose value is read at each scrape. */
export const addGauge = (
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void => {
  const collect: CollectFunction<Gauge> = function () {
    this.set(read());
  };
  const options = { name: `${metricPrefix}${name}`, help, collect };
  registry.registerMetric(new Gauge({ ...options, registers: [] }));
};

export class NodeMetrics {
  readonly store = new DisposableStore();
  private readonly kinds = new LabelLimiter(maxKindLabels);
  private readonly ranks = new LabelLimiter(maxRankLabels);
  private readonly events: Counter<'kind'>;
  private readonly queueDelays: Histogram<'rank'>;

  constructor(registry: Registry, events: EventLog, isReady: () => boolean) {
    this.events = new Counter({
      name: `${metricPrefix}events_total`,
      help: 'Events of the time line by kind',
      labelNames: ['kind'],
      registers: [registry],
    });
    this.queueDelays = new Histogram({
      name: `${metricPrefix}queue_delay_seconds`,
      help: 'Time from the offer of a first stage to its start, by rank',
      labelNames: ['rank'],
      buckets: secondsBuckets,
      registers: [registry],
    });
    addGauge(registry, 'ready', 'Whether the process takes work', () =>
      isReady() ? 1 : 0,
    );
    addGauge(
      registry,
      'timeline_overwritten',
      'Events that the time line no longer keeps',
      () => events.overwritten,
    );
    this.store.add(
      events.recorded.subscribe(event => {
        this.recordEvent(event);
      }),
    );
  }

  private recordEvent(event: EventRecord): void {
    this.events.inc({ kind: this.kinds.toLabel(event.kind) });
    const { detail } = event;
    if (event.kind === 'work-started' && detail?.stage === 0) {
      const rank = this.ranks.toLabel(String(detail.rank));
      const waitedMs = Number(detail.waitedMs);
      this.queueDelays.observe({ rank }, waitedMs / millisecondsPerSecond);
    }
  }
}
