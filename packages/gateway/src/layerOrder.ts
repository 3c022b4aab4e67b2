/** An order to a backend server to load layers; context of the chart `layerOrder`. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type { Milliseconds, PartLogger, Result } from '@lycheetally/common';
import type { LayerRange } from '@lycheetally/decisions';
import {
  loadBoundMs,
  orderPauseMs,
  refusedServerPauseMs,
  reportBoundMs,
} from './constants.js';
import type { ServerControlPort } from './ports.js';
import type { Server } from './server.js';

export interface OrderEvent {
  readonly type: 'ACCEPTED' | 'REFUSED' | 'UNANSWERED' | 'SEEN';
}

export type OrderMachine = ChartMachine<LayerOrder, OrderEvent>;

/** Services that an order uses. */
export interface OrderServices {
  readonly timers: ChartTimers;
  readonly log: PartLogger;
  readonly control: ServerControlPort;
  postCompletion(run: (now: Milliseconds) => void): void;
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
    private readonly handleSettled: () => void,
  ) {
    this.chart = machine.createInstance(this, services.timers);
  }

  /** Whether the server refused the order and is planned with the layers that it has. */
  get isAvoided(): boolean {
    return this.chart.matches('avoided');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  noteSeen(now: Milliseconds): void {
    this.chart.send({ type: 'SEEN' }, now);
  }

  readonly chartActions = {
    sendOrder: (): void => {
      void this.exchangeOrder().then(result => {
        this.services.postCompletion(now => {
          this.receive(result, now);
        });
      });
    },
    noteSettled: (): void => {
      this.chart.dispose();
      this.handleSettled();
    },
  };

  private async exchangeOrder(): Promise<Result<boolean>> {
    const { services, server, range, fencingToken } = this;
    const { serverId, address } = server.record;
    const order = { serverId, address, range, fencingToken };
    const report = await services.control.readReport(address, reportBoundMs);
    return report.err
      ? report
      : services.control.placeLayers({
          ...order,
          expectedOrders: report.val.orders,
        });
  }

  private receive(result: Result<boolean>, now: Milliseconds): void {
    const { from, to } = this.range;
    const answer = result.err ? 'UNANSWERED' : orderAnswers[String(result.val)];
    this.services.log.info('A server was told to hold layers.', {
      server: this.server.record.serverId,
      layers: `${String(from)}-${String(to)}`,
      fencingToken: this.fencingToken,
      answer: answer ?? '',
      reason: result.err ? result.val.message : '',
    });
    if (answer) {
      this.chart.send({ type: answer }, now);
    }
  }
}

const orderAnswers: Readonly<Record<string, OrderEvent['type']>> = {
  true: 'ACCEPTED',
  false: 'REFUSED',
};

/** Binds the chart `layerOrder`. Fails with `BadChart`. */
export const bindOrderChart = (): Result<OrderMachine> =>
  bindChart<LayerOrder, OrderEvent>(ChartName.LayerOrder, {
    actions: {
      sendOrder: order => {
        order.chartActions.sendOrder();
      },
      noteSettled: order => {
        order.chartActions.noteSettled();
      },
    },
    guards: {},
    delays: {
      LOAD_BOUND: () => loadBoundMs,
      REFUSED_PAUSE: () => orderPauseMs,
      AVOIDED_PAUSE: () => refusedServerPauseMs,
      DOUBT_PAUSE: () => orderPauseMs,
    },
  });
