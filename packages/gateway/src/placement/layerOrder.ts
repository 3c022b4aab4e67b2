/** An order to a backend server to load layers; context of the chart `layerOrder`. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Milliseconds,
  type ComponentLogger,
  type Result,
} from '@lycheetally/common';
import type { BackendRecord, LayerRange } from '@lycheetally/decisions';
import { failedOrderTimeoutMs, reportTimeoutMs } from '../constants.js';
import {
  ConnectionUse,
  OrderRefusal,
  type HeldLayers,
  type OrderAnswer,
  type ServerControlPort,
  type ServerReport,
} from '../ports.js';
import type { OrderBackoff } from './orderBackoff.js';
import type { OrderRules } from './orderRules.js';
import type { Server } from '../servers/server.js';

export interface OrderEvent {
  readonly type: 'ACCEPTED' | 'REFUSED' | 'UNANSWERED' | 'RESOLVED';
}

export type OrderMachine = ChartMachine<LayerOrder, OrderEvent>;

/** Services that an order uses. */
export interface OrderServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly control: ServerControlPort;
  postCompletion(run: (now: Milliseconds) => void): void;
}

/** The placer that an order belongs to. */
export interface OrderOwner {
  readonly backoff: OrderBackoff;
  readonly rules: OrderRules;
  /** Whether it may still give orders. */
  mayOrder(now: Milliseconds): boolean;
  /** Called when the server did not answer the order, or the question before it. */
  handleUnanswered(now: Milliseconds): void;
  handleFinished(): void;
}

/** One order to one incarnation of a server. */
export class LayerOrder {
  private readonly chart: ChartInstance<LayerOrder, OrderEvent>;
  /** The layers of the server's entry when it answered. */
  private entryRange: LayerRange | undefined;
  /** What the server's report said, and its entry at that time. */
  private reported: (HeldLayers & { record: BackendRecord }) | undefined;
  private readonly incarnation: number;
  private startedAt: Milliseconds = 0;
  /** Whether the server may be carrying the order out although it has not said so. */
  private mayBeBegun = false;

  constructor(
    machine: OrderMachine,
    private readonly services: OrderServices,
    readonly server: Server,
    readonly range: LayerRange,
    private readonly fencingToken: number,
    private readonly owner: OrderOwner,
  ) {
    this.incarnation = server.record.incarnation;
    this.chart = machine.createInstance(this, services.timers);
  }

  /** Whether the server refused the order; placement then plans with `heldRange`. */
  get isCoolingDown(): boolean {
    return this.chart.matches('coolingDown');
  }

  /** The layers to plan with once the server has refused: what its report says, until its entry changes. */
  get heldRange(): LayerRange | undefined {
    const { record } = this.server;
    return this.reported?.record === record
      ? this.reported.range
      : record.range;
  }

  /** Whether the server has refused and its entry names other layers since, so that the refusal's cause has passed. */
  get isRefusalOver(): boolean {
    const { record } = this.server;
    return this.isCoolingDown && !isSameRange(this.entryRange, record.range);
  }

  /** Whether the server has restarted since, so that it carries nothing out. */
  get isVoid(): boolean {
    return (
      this.owner.rules.endsAtRestart &&
      this.server.record.incarnation !== this.incarnation
    );
  }

  start(now: Milliseconds): void {
    this.startedAt = now;
    this.chart.start(now);
  }

  dispose(): void {
    this.chart.dispose();
  }

  get loadTimeoutMs(): Milliseconds {
    return this.owner.rules.loadTimeoutMs;
  }

  mayRepeat(now: Milliseconds): boolean {
    const { owner, startedAt } = this;
    return owner.mayOrder(now) && owner.rules.mayRepeat(now - startedAt);
  }

  computeCooldown(): Milliseconds {
    return this.owner.backoff.computeCooldown(this.server);
  }

  /** Whether the server's entry names the layers of the order. */
  get isApplied(): boolean {
    return isSameRange(this.server.record.range, this.range);
  }

  noteResolved(now: Milliseconds): void {
    this.chart.send({ type: 'RESOLVED' }, now);
  }

  readonly chartActions = {
    sendOrder: (): void => {
      const { services } = this;
      const { address } = this.server.record;
      void services.control
        .readReport(address, reportTimeoutMs, ConnectionUse.New)
        .then(report => {
          services.postCompletion(now => {
            this.receiveReport(report, now);
          });
        });
    },
    finishOrder: (): void => {
      this.chart.dispose();
      this.owner.handleFinished();
    },
  };

  /** Sends the order if the server is free to begin it; its report may be some hundred milliseconds old. */
  private receiveReport(report: Result<ServerReport>, now: Milliseconds): void {
    if (report.err) {
      this.receive(report, now);
    } else if (!this.owner.mayOrder(now)) {
      this.receive(Err(createNotLeaderError()), now);
    } else {
      this.noteHeld(report.val);
      const refusal = this.findRefusal(report.val);
      if (this.mayBeBegun && report.val.isBusy) {
        const detail = 'by its report, after an order without an answer';
        this.receive(Ok({ refusal: undefined, detail }), now);
      } else if (refusal) {
        this.receive(Ok({ refusal, detail: 'by its report' }), now);
      } else {
        this.placeLayers(report.val.orders);
      }
    }
  }

  private noteHeld({ held }: ServerReport): void {
    const { record } = this.server;
    this.reported = held && { ...held, record };
  }

  /** Finds out from the report whether the order was planned for another state of the server. */
  private findRefusal({
    isBusy,
    held,
  }: ServerReport): OrderRefusal | undefined {
    if (isBusy) {
      return OrderRefusal.Busy;
    }
    return !held || isSameRange(held.range, this.server.record.range)
      ? undefined
      : OrderRefusal.Outdated;
  }

  private placeLayers(expectedOrders: number): void {
    const { services, range, fencingToken } = this;
    const { serverId, address } = this.server.record;
    this.mayBeBegun = true;
    void services.control
      .placeLayers({ serverId, address, range, fencingToken, expectedOrders })
      .then(result => {
        services.postCompletion(now => {
          this.receive(result, now);
        });
      });
  }

  private receive(result: Result<OrderAnswer>, now: Milliseconds): void {
    const { from, to } = this.range;
    const type = getEventType(result);
    this.entryRange = this.server.record.range;
    this.services.log.info('A server was told to hold layers.', {
      server: this.server.record.serverId,
      layers: `${String(from)}-${String(to)}`,
      fencingToken: this.fencingToken,
      answer: type,
      refusal: result.err ? '' : (result.val.refusal ?? ''),
      reason: result.err ? result.val.message : result.val.detail,
    });
    this.noteAnswer(type, now);
    this.chart.send({ type }, now);
  }

  private noteAnswer(type: OrderEvent['type'], now: Milliseconds): void {
    const { backoff } = this.owner;
    if (type === 'REFUSED') {
      backoff.noteRefusal(this.server);
    } else if (type === 'ACCEPTED') {
      backoff.clear(this.server);
    } else if (this.owner.mayOrder(now)) {
      // Without the lease the order was not sent, or is no longer repeated; the next leader probes.
      this.owner.handleUnanswered(now);
    }
  }
}

const isSameRange = (
  a: LayerRange | undefined,
  b: LayerRange | undefined,
): boolean => a?.from === b?.from && a?.to === b?.to;

/** The fault of an order whose gateway lost or gave up its lease before it was sent. */
const createNotLeaderError = (): TypedError =>
  new TypedError(
    ErrorKind.ShuttingDown,
    'this gateway no longer places layers, so the order was not sent',
    'none is needed; the next leader plans anew',
  );

const getEventType = (result: Result<OrderAnswer>): OrderEvent['type'] => {
  if (result.err) {
    return 'UNANSWERED';
  }
  return result.val.refusal === undefined ? 'ACCEPTED' : 'REFUSED';
};

/** Binds the chart `layerOrder`. Fails with `BadChart`. */
export const bindOrderChart = (): Result<OrderMachine> =>
  bindChart<LayerOrder, OrderEvent>(ChartName.LayerOrder, {
    actions: {
      sendOrder: order => {
        order.chartActions.sendOrder();
      },
      finishOrder: order => {
        order.chartActions.finishOrder();
      },
    },
    guards: {
      mayRepeat: (order, _, now) => order.mayRepeat(now),
    },
    delays: {
      LOAD_TIMEOUT: order => order.loadTimeoutMs,
      COOLDOWN: order => order.computeCooldown(),
      UNANSWERED_TIMEOUT: () => failedOrderTimeoutMs,
    },
  });
