/**
 * Exchanges with other gateways what each has in flight; context of the charts `loadReport`
 * and `loadView`.
 *
 * A gateway reports to the relay of its failure domain and gets the sum of the others back.
 * A relay exchanges the sum of its domain with the relays of the other domains. Each gateway
 * thus sends one message at a time, and the messages grow with the fleet and not with its
 * square. Nothing is stored: after a restart the next reports bring all back.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import {
  DisposableStore,
  getOrThrow,
  millisecondsPerSecond,
  toMessage,
  type ComponentLogger,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  FlightBoard,
  computeFlightSum,
  maxReportAgeMs,
  type FlightReport,
  type Flights,
  type FlightSum,
  type OthersInFlight,
} from '@lycheetally/decisions';
import type { DomainRelay, Relay } from '../news/peerDirectory.js';
import {
  headBytes,
  maxReportBytesPerSecond,
  refreshIntervalMs,
  reportIntervalMs,
} from './constants.js';
import { encodeReport, type ReceivedSum } from './loadMessage.js';
import type { LoadReportPort } from './loadPorts.js';

interface ReportEvent {
  readonly type: 'CHANGED' | 'EXCHANGED';
}

interface ViewEvent {
  readonly type: 'HEARD';
}

export interface LoadExchangeServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly port: LoadReportPort;
  readonly ownId: string;
  readonly failureDomain: string;
  /** When the process started, by the clock of the VM. */
  readonly incarnation: number;
  /** Returns the relay of the own failure domain; `undefined` if it is this gateway, or none is known. */
  chooseRelay(): Relay | undefined;
  /** Relays of the other failure domains. */
  listRelaysElsewhere(): readonly DomainRelay[];
  /** What this gateway has in flight. */
  listFlights(): Flights;
  postCompletion(run: (now: Milliseconds) => void): void;
}

/** Keeps what a relay answers apart from what it reports, which has numbers of its own. */
const answerSuffix = 'answers';

export class LoadExchange {
  /** Reports that were sent since the start. */
  sent = 0;
  /** Bytes of reports and answers since the start. */
  bytes = 0;
  private sequence = 0;
  private hasNews = false;
  private isChangePosted = false;
  private isDisposed = false;
  /** Bytes of the largest exchange of the last round. */
  private largestBytes = 0;
  private others: FlightSum | undefined;
  private othersAsOf: Milliseconds = -Infinity;
  /** Reports of the other gateways of the own failure domain. */
  private readonly domainBoard = new FlightBoard();
  /** Reports of the relays of the other domains, and their answers. */
  private readonly otherBoard = new FlightBoard();
  private readonly disposables = new DisposableStore();
  private readonly reportChart: ChartInstance<LoadExchange, ReportEvent>;
  private readonly viewChart: ChartInstance<LoadExchange, ViewEvent>;

  constructor(private readonly services: LoadExchangeServices) {
    const { timers } = services;
    this.reportChart = getOrThrow(bindReportChart()).createInstance(
      this,
      timers,
    );
    this.viewChart = getOrThrow(bindViewChart()).createInstance(this, timers);
    this.disposables.add(this.reportChart);
    this.disposables.add(this.viewChart);
    this.disposables.add(services.port);
  }

  start(now: Milliseconds): void {
    this.viewChart.start(now);
    this.reportChart.start(now);
  }

  dispose(): void {
    this.isDisposed = true;
    this.disposables.dispose();
  }

  /** Number of other gateways whose reports count now. */
  get coveredGateways(): number {
    return this.viewChart.matches('informed')
      ? (this.others?.gateways ?? 0)
      : 0;
  }

  /** Returns what other gateways have in flight at the server; absent without their reports. */
  findOthers(serverKey: string): OthersInFlight | undefined {
    const { others } = this;
    if (!others || others.gateways === 0) {
      return undefined;
    }
    const { calls = 0, layerTokens = 0 } = others.flights.get(serverKey) ?? {};
    return {
      calls,
      layerTokens,
      gateways: others.gateways,
      asOf: this.othersAsOf,
    };
  }

  /** Handles that a call was sent or has ended. */
  noteChanged(): void {
    this.hasNews = true;
    if (!this.isChangePosted) {
      this.isChangePosted = true;
      this.post(now => {
        this.isChangePosted = false;
        this.reportChart.send({ type: 'CHANGED' }, now);
      });
    }
  }

  /** Keeps the report of another gateway and returns what its sender lacks. */
  receiveReport(report: FlightReport, now: Milliseconds): FlightSum {
    if (report.domain === undefined) {
      this.domainBoard.accept(report, now);
      return this.computeOthers(report.sender, now);
    }
    if (report.domain !== this.services.failureDomain) {
      this.otherBoard.accept(report, now);
    }
    return this.computeDomain(undefined, now);
  }

  readonly chartActions = {
    sendReports: (now: Milliseconds): void => {
      this.hasNews = false;
      this.largestBytes = 0;
      this.sequence += 1;
      const relay = this.services.chooseRelay();
      const exchange = relay
        ? this.reportToRelay(relay, now)
        : this.exchangeDomains(now);
      void exchange
        .catch((thrown: unknown) => {
          this.services.log.error('An exchange of load reports failed.', {
            reason: toMessage(thrown),
          });
        })
        .then(() => {
          this.post(endedAt => {
            this.reportChart.send({ type: 'EXCHANGED' }, endedAt);
          });
        });
    },
    hasChanged: (): boolean => this.hasNews,
    /** The pause that keeps the bytes per second to each other gateway within the bound. */
    computePause: (): Milliseconds =>
      Math.max(
        reportIntervalMs,
        (this.largestBytes * millisecondsPerSecond) / maxReportBytesPerSecond,
      ),
    noteInformed: (): void => {
      this.services.log.info(
        'Other gateways report what they have in flight.',
        {
          gateways: this.others?.gateways ?? 0,
          ageMs: Math.round(this.others?.ageMs ?? 0),
        },
      );
    },
    noteAlone: (now: Milliseconds): void => {
      this.services.log.warn(
        'No recent reports of other gateways; load is estimated from own calls.',
        { ageMs: Math.round(now - this.othersAsOf) },
      );
    },
  };

  /** Runs a completion on the loop, unless the exchange has ended before; an answer that is late starts no further report. */
  private post(run: (now: Milliseconds) => void): void {
    this.services.postCompletion(now => {
      if (!this.isDisposed) {
        run(now);
      }
    });
  }

  private async reportToRelay(relay: Relay, now: Milliseconds): Promise<void> {
    const own = this.createOwnSum();
    const answer = await this.send(relay, { ...own, domain: undefined });
    if (answer) {
      this.post(receivedAt => {
        // Delays on the way count as age.
        this.noteOthers(answer, now - answer.ageMs, receivedAt);
      });
    }
  }

  /** A relay tells the relays of the other domains what its own has in flight, and takes each answer for a report. */
  private async exchangeDomains(now: Milliseconds): Promise<void> {
    const { services } = this;
    const { ownId, failureDomain } = services;
    const domain = this.computeDomain(undefined, now);
    await Promise.all(
      services.listRelaysElsewhere().map(async relay => {
        const answer = await this.send(relay, {
          ...domain,
          domain: failureDomain,
        });
        if (answer) {
          this.acceptAnswer(relay, answer, now);
        }
      }),
    );
    this.post(endedAt => {
      const others = this.computeOthers(ownId, endedAt);
      this.noteOthers(others, endedAt - others.ageMs, endedAt);
    });
  }

  /** Counts from the send on, so that delays on the way count as age. */
  private acceptAnswer(
    { id, failureDomain: domain }: DomainRelay,
    answer: FlightSum,
    sentAt: Milliseconds,
  ): void {
    const { incarnation } = this.services;
    const { sequence } = this;
    const sender = `${id} ${answerSuffix}`;
    this.otherBoard.accept(
      { ...answer, sender, domain, incarnation, sequence },
      sentAt,
    );
  }

  private async send(
    relay: Relay,
    sum: FlightSum & Pick<FlightReport, 'domain'>,
  ): Promise<ReceivedSum | undefined> {
    const { ownId: sender, incarnation, port } = this.services;
    const { sequence } = this;
    const text = encodeReport({ ...sum, sender, incarnation, sequence });
    this.sent += 1;
    const answer = await port.send(relay.address, text);
    const bytes = text.length + headBytes + (answer?.bytes ?? 0);
    this.largestBytes = Math.max(this.largestBytes, bytes);
    this.bytes += bytes;
    return answer;
  }

  private noteOthers(
    others: FlightSum,
    asOf: Milliseconds,
    now: Milliseconds,
  ): void {
    // An empty sum says nothing; the one before it goes on to age.
    if (others.gateways > 0) {
      this.others = others;
      this.othersAsOf = asOf;
      this.viewChart.send({ type: 'HEARD' }, now);
    }
  }

  private createOwnSum(): FlightSum {
    return { gateways: 1, ageMs: 0, flights: this.services.listFlights() };
  }

  /** Sums the gateways of the own domain, this one among them unless it asks itself. */
  private computeDomain(
    without: string | undefined,
    now: Milliseconds,
  ): FlightSum {
    const reported = this.domainBoard.computeSum(without, now);
    return without === this.services.ownId
      ? reported
      : computeFlightSum([reported, this.createOwnSum()]);
  }

  /** Sums all gateways but one. */
  private computeOthers(without: string, now: Milliseconds): FlightSum {
    return computeFlightSum([
      this.computeDomain(without, now),
      this.otherBoard.computeSum(undefined, now),
    ]);
  }
}

/** Binds the chart `loadReport`. Fails with `BadChart`. */
const bindReportChart = (): Result<ChartMachine<LoadExchange, ReportEvent>> =>
  bindChart<LoadExchange, ReportEvent>(ChartName.LoadReport, {
    actions: {
      sendReports: (exchange, _, now) => {
        exchange.chartActions.sendReports(now);
      },
    },
    guards: { hasChanged: exchange => exchange.chartActions.hasChanged() },
    delays: {
      PAUSE: exchange => exchange.chartActions.computePause(),
      REFRESH_INTERVAL: () => refreshIntervalMs,
    },
  });

/** Binds the chart `loadView`. Fails with `BadChart`. */
const bindViewChart = (): Result<ChartMachine<LoadExchange, ViewEvent>> =>
  bindChart<LoadExchange, ViewEvent>(ChartName.LoadView, {
    actions: {
      noteInformed: exchange => {
        exchange.chartActions.noteInformed();
      },
      noteAlone: (exchange, _, now) => {
        exchange.chartActions.noteAlone(now);
      },
    },
    guards: {},
    delays: { REPORT_AGE: () => maxReportAgeMs },
  });
