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
  TypedError,
  type Milliseconds,
  type ComponentLogger,
  type Result,
} from '@lycheetally/common';
import type { LayerRange } from '@lycheetally/decisions';
import {
  layerLoadTimeoutMs,
  failedOrderTimeoutMs,
  refusedServerCooldownMs,
  reportTimeoutMs,
} from './constants.js';
import {
  ConnectionUse,
  type OrderAnswer,
  type ServerControlPort,
} from './ports.js';
import type { Server } from './server.js';

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
  /** Whether it still places layers. */
  isLeader(): boolean;
  handleFinished(): void;
}

/** One order to one incarnation of a server. */
export class LayerOrder {
  private readonly chart: ChartInstance<LayerOrder, OrderEvent>;

  constructor(
    machine: OrderMachine,
    private readonly services: OrderServices,
    readonly server: Server,
    readonly range: LayerRange,
    private readonly fencingToken: number,
    private readonly owner: OrderOwner,
  ) {
    this.chart = machine.createInstance(this, services.timers);
  }

  /** Whether the server refused the order; placement then plans with the layers that it holds now. */
  get isCoolingDown(): boolean {
    return this.chart.matches('coolingDown');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  noteResolved(now: Milliseconds): void {
    this.chart.send({ type: 'RESOLVED' }, now);
  }

  readonly chartActions = {
    sendOrder: (): void => {
      void this.exchangeOrder().then(result => {
        this.services.postCompletion(now => {
          this.receive(result, now);
        });
      });
    },
    finishOrder: (): void => {
      this.chart.dispose();
      this.owner.handleFinished();
    },
  };

  private async exchangeOrder(): Promise<Result<OrderAnswer>> {
    const { services, server, range, fencingToken } = this;
    const { serverId, address } = server.record;
    const order = { serverId, address, range, fencingToken };
    const report = await services.control.readReport(
      address,
      reportTimeoutMs,
      ConnectionUse.New,
    );
    if (report.err) {
      return report;
    }
    if (!this.owner.isLeader()) {
      return Err(createNotLeaderError());
    }
    const expectedOrders = report.val.orders;
    return services.control.placeLayers({ ...order, expectedOrders });
  }

  private receive(result: Result<OrderAnswer>, now: Milliseconds): void {
    const { from, to } = this.range;
    const type = getEventType(result);
    this.services.log.info('A server was told to hold layers.', {
      server: this.server.record.serverId,
      layers: `${String(from)}-${String(to)}`,
      fencingToken: this.fencingToken,
      answer: type,
      refusal: result.err ? '' : (result.val.refusal ?? ''),
      reason: result.err ? result.val.message : result.val.detail,
    });
    this.chart.send({ type }, now);
  }
}

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
    guards: {},
    delays: {
      LOAD_TIMEOUT: () => layerLoadTimeoutMs,
      REFUSED_TIMEOUT: () => failedOrderTimeoutMs,
      COOLDOWN: () => refusedServerCooldownMs,
      UNANSWERED_TIMEOUT: () => failedOrderTimeoutMs,
    },
  });
