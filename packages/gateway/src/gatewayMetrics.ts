/** Counters and latency histograms of a gateway. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { millisecondsPerSecond, type Milliseconds } from '@lycheetally/common';
import type { TurnMeasure } from '@lycheetally/node';
import type { TraitKind } from './suspects/callTrait.js';

const prefix = 'lycheetally_gateway_';

/** Histogram buckets for response times, in seconds, around the latency targets of calls and streams. */
const secondsBuckets = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 20,
];

/** Histogram buckets for what should take milliseconds, in seconds. */
const delayBuckets = [0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.5, 1, 2, 5];

/** What the gauges show of the queue of a service. */
export interface QueueFigures {
  readonly waitingCount: number;
  readonly runningCount: number;
  readonly limit: number;
  readonly pressure: number;
}

export class GatewayMetrics {
  readonly registry = new Registry();
  private readonly calls = new Counter({
    name: `${prefix}calls_total`,
    help: 'Calls by service, outcome and status of the answer',
    labelNames: ['service', 'outcome', 'status'],
    registers: [this.registry],
  });
  private readonly attempts = new Counter({
    name: `${prefix}attempts_failed_total`,
    help: 'Attempts that did not complete their call, by outcome',
    labelNames: ['outcome'],
    registers: [this.registry],
  });
  private readonly probes = new Counter({
    name: `${prefix}stall_reports_total`,
    help: 'Questions to servers about a stalled chain or whether they live',
    registers: [this.registry],
  });
  private readonly repairs = new Counter({
    name: `${prefix}chain_repairs_total`,
    help: 'Running calls that were to move to another chain, by outcome',
    labelNames: ['outcome'],
    registers: [this.registry],
  });
  private readonly hedges = new Counter({
    name: `${prefix}hedges_total`,
    help: 'Second runs beside a silent one, by what became of them',
    labelNames: ['outcome'],
    registers: [this.registry],
  });
  private readonly storeReads = new Gauge({
    name: `${prefix}store_reads`,
    help: 'Reads of the store since the start',
    registers: [this.registry],
  });
  private readonly relayedReads = new Gauge({
    name: `${prefix}relayed_reads`,
    help: 'Reads of the store that another gateway answered since the start',
    registers: [this.registry],
  });
  private readonly suspectRefusals = new Counter({
    name: `${prefix}part_refusals_total`,
    help: 'Calls refused for a part of their prompt or as a whole, by kind, at admission or when they would have been sent again',
    labelNames: ['service', 'at', 'kind'],
    registers: [this.registry],
  });
  private readonly suspectBreaks = new Counter({
    name: `${prefix}part_breaks_total`,
    help: 'Attempts that their server broke before the second event, counted as a whole and, if they name parts of a prompt, once more for these',
    labelNames: ['service', 'kind'],
    registers: [this.registry],
  });
  private readonly suspectMessages = new Counter({
    name: `${prefix}part_messages_total`,
    help: 'Messages about prompt parts and calls to other gateways, by whether they were answered',
    labelNames: ['answered'],
    registers: [this.registry],
  });
  private readonly refused = new Counter({
    name: `${prefix}malformed_total`,
    help: 'Requests refused before they were read as calls, by status',
    labelNames: ['status'],
    registers: [this.registry],
  });
  private readonly dropped = new Counter({
    name: `${prefix}calls_dropped_total`,
    help: 'Calls that came on a closing connection and were not passed on',
    registers: [this.registry],
  });
  private readonly connectionsClosed = new Counter({
    name: `${prefix}connections_closed_total`,
    help: 'Connections of callers that were closed without an open response, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly left = new Counter({
    name: `${prefix}calls_left_total`,
    help: 'Calls whose callers had left before they were passed on',
    registers: [this.registry],
  });
  private readonly cutByStop = new Counter({
    name: `${prefix}calls_cut_by_stop_total`,
    help: 'Calls that were sent to a server and cut by the drain timeout',
    registers: [this.registry],
  });
  private readonly duration = new Histogram({
    name: `${prefix}call_seconds`,
    help: 'Time from the whole call to its end',
    labelNames: ['service'],
    buckets: secondsBuckets,
    registers: [this.registry],
  });
  private readonly firstByte = new Histogram({
    name: `${prefix}first_byte_seconds`,
    help: 'Time from the whole call to the first byte of a stream',
    labelNames: ['service'],
    buckets: secondsBuckets,
    registers: [this.registry],
  });
  private readonly silence = new Histogram({
    name: `${prefix}longest_silence_seconds`,
    help: 'Longest time without a byte of a server, for each call that was sent',
    labelNames: ['service', 'outcome'],
    buckets: secondsBuckets,
    registers: [this.registry],
  });

  private readonly waitSeconds = new Histogram({
    name: `${prefix}wait_seconds`,
    help: 'Time that calls waited for a place, of those that got one after a wait',
    labelNames: ['service'],
    buckets: secondsBuckets,
    registers: [this.registry],
  });
  private readonly waitRefusals = new Counter({
    name: `${prefix}wait_refusals_total`,
    help: 'Calls refused by the queue of their service, by reason',
    labelNames: ['service', 'reason'],
    registers: [this.registry],
  });
  private readonly queues = new Map<string, QueueFigures>();

  private readonly turns = this.addDelay(
    'loop_turn_seconds',
    'Time of a turn of the event loop',
  );
  private readonly reads = this.addDelay(
    'loop_read_seconds',
    'Work between two turns of the event loop, most of it reads',
  );
  private readonly waits = this.addDelay(
    'loop_wait_seconds',
    'Longest time that an event of a turn had waited',
  );
  private readonly unread = this.addDelay(
    'call_unread_seconds',
    'Longest time that a call can have waited before it was read',
  );
  private readonly queued = this.addDelay(
    'call_queue_seconds',
    'Time of a call in the queue of the event loop',
  );
  private readonly viewAges = this.addDelay(
    'send_view_seconds',
    'Age of what was read when an attempt was written to its server',
  );
  private readonly connects = this.addDelay(
    'connect_seconds',
    'Time from the send of an attempt to its connection',
  );
  private readonly choices = this.addDelay(
    'choice_seconds',
    'Time of a choice of servers',
  );

  constructor() {
    this.addQueueGauges();
  }

  private addDelay(name: string, help: string): Histogram {
    return new Histogram({
      name: `${prefix}${name}`,
      help,
      buckets: delayBuckets,
      registers: [this.registry],
    });
  }

  /** Adds the queue of a service to the gauges of queues. */
  addQueue(service: string, figures: QueueFigures): void {
    this.queues.set(service, figures);
  }

  private addQueueGauges(): void {
    const gauges: readonly [string, string, (each: QueueFigures) => number][] =
      [
        [
          'waiting_calls',
          'Calls that wait for a place or a chain',
          each => each.waitingCount,
        ],
        ['running_calls', 'Calls that have a place', each => each.runningCount],
        ['call_limit', 'Calls that may run at once', each => each.limit],
        [
          'call_pressure',
          'How close the running calls are to being late; 1 is late',
          each => each.pressure,
        ],
      ];
    for (const [name, help, read] of gauges) {
      const gauge: Gauge = new Gauge({
        name: `${prefix}${name}`,
        help,
        labelNames: ['service'],
        registers: [this.registry],
        collect: () => {
          for (const [service, figures] of this.queues) {
            gauge.set({ service }, read(figures));
          }
        },
      });
    }
  }

  observeWait(service: string, waitMs: Milliseconds): void {
    this.waitSeconds.observe({ service }, waitMs / millisecondsPerSecond);
  }

  countWaitRefusal(service: string, reason: string): void {
    this.waitRefusals.inc({ service, reason });
  }

  /** Adds a gauge that is read when the metrics page is requested. */
  addGauge(name: string, help: string, read: () => number): void {
    const gauge = new Gauge({
      name: `${prefix}${name}`,
      help,
      registers: [this.registry],
      collect: () => {
        gauge.set(read());
      },
    });
  }

  observeTurn({ durationMs, readMs, longestWaitMs }: TurnMeasure): void {
    this.turns.observe(durationMs / millisecondsPerSecond);
    this.reads.observe(readMs / millisecondsPerSecond);
    this.waits.observe(longestWaitMs / millisecondsPerSecond);
  }

  observeIntake(unreadMs: Milliseconds, queuedMs: Milliseconds): void {
    this.unread.observe(unreadMs / millisecondsPerSecond);
    this.queued.observe(queuedMs / millisecondsPerSecond);
  }

  observeWrite(viewAgeMs: Milliseconds): void {
    this.viewAges.observe(viewAgeMs / millisecondsPerSecond);
  }

  observeConnect(connectMs: Milliseconds): void {
    this.connects.observe(connectMs / millisecondsPerSecond);
  }

  observeChoice(choiceMs: Milliseconds): void {
    this.choices.observe(choiceMs / millisecondsPerSecond);
  }

  observeSilence(
    service: string,
    outcome: string,
    silenceMs: Milliseconds,
  ): void {
    this.silence.observe(
      { service, outcome },
      silenceMs / millisecondsPerSecond,
    );
  }

  countCall(
    service: string,
    outcome: string,
    status: number,
    durationMs: Milliseconds,
    firstByteMs: Milliseconds | undefined,
  ): void {
    this.calls.inc({ service, outcome, status: String(status) });
    this.duration.observe({ service }, durationMs / millisecondsPerSecond);
    if (firstByteMs !== undefined) {
      this.firstByte.observe({ service }, firstByteMs / millisecondsPerSecond);
    }
  }

  countAttempt(outcome: string): void {
    this.attempts.inc({ outcome });
  }

  countProbe(): void {
    this.probes.inc();
  }

  countRepair(outcome: string): void {
    this.repairs.inc({ outcome });
  }

  countHedge(outcome: string): void {
    this.hedges.inc({ outcome });
  }

  /** Counts a read of a table of the store. */
  countNews(isRelayed: boolean): void {
    (isRelayed ? this.relayedReads : this.storeReads).inc();
  }

  countConnectionClosed(reason: string): void {
    this.connectionsClosed.inc({ reason });
  }

  countDropped(): void {
    this.dropped.inc();
  }

  countLeft(): void {
    this.left.inc();
  }

  countCutByStop(): void {
    this.cutByStop.inc();
  }

  countSuspectRefusal(
    service: string,
    at: 'admission' | 'repeat',
    kind: TraitKind,
  ): void {
    this.suspectRefusals.inc({ service, at, kind });
  }

  countSuspectBreak(service: string, kind: TraitKind): void {
    this.suspectBreaks.inc({ service, kind });
  }

  countSuspectMessage(isAnswered: boolean): void {
    this.suspectMessages.inc({ answered: String(isAnswered) });
  }

  countRefused(status: number): void {
    this.refused.inc({ status: String(status) });
  }
}
