/**
 * Places layers on backend servers while this gateway is the leader of its group;
 * context of the chart `dutyHolder`.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
} from '@lycheetally/charts';
import type { Milliseconds, Result } from '@lycheetally/common';
import type {
  BackendService,
  LayerRange,
  PlacementPolicy,
  StageServer,
} from '@lycheetally/decisions';
import {
  dutyLeaseMs,
  dutyRenewPauseMs,
  heartbeatLateShare,
  planPauseMs,
  serverReadPauseMs,
  settleBoundMs,
  settlePauseMs,
} from './constants.js';
import {
  LayerOrder,
  type OrderMachine,
  type OrderServices,
} from './layerOrder.js';
import type { DutyGrant, DutyPort } from './ports.js';
import type { Server } from './server.js';
import { viewStage, type ServerBook } from './serverBook.js';
import type { ServerLosses } from './serverLosses.js';

export interface DutyEvent {
  readonly type: 'GRANTED' | 'DENIED' | 'RESIGN';
}

export type DutyMachine = ChartMachine<LayerPlacer, DutyEvent>;

export interface PlacerServices extends OrderServices {
  readonly duty: DutyPort;
  readonly placement: PlacementPolicy;
  readonly book: ServerBook;
  readonly startedAt: Milliseconds;
  /** Interval between two heartbeats of a server. */
  readonly heartbeatMs: Milliseconds;
  readonly losses: ServerLosses;
  /** Sets this gateway's share of its group, from 0 to 1. */
  setShare(share: number, now: Milliseconds): void;
  listServices(): Iterable<BackendService>;
}

export class LayerPlacer {
  /** Orders sent since the start. */
  orders = 0;
  private fencingToken = 0;
  private leaseUntil: Milliseconds = -Infinity;
  private renewedAt: Milliseconds = -Infinity;
  private readonly underWay = new Map<string, LayerOrder>();
  private readonly chart: ChartInstance<LayerPlacer, DutyEvent>;

  constructor(
    machine: DutyMachine,
    private readonly orderMachine: OrderMachine,
    private readonly services: PlacerServices,
  ) {
    this.chart = machine.createInstance(this, services.timers);
  }

  get isHolder(): boolean {
    return this.chart.matches('holding');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  resign(now: Milliseconds): void {
    this.chart.send({ type: 'RESIGN' }, now);
  }

  dispose(): void {
    this.chart.dispose();
  }

  readonly chartActions = {
    requestDuty: (now: Milliseconds): void => {
      this.renewedAt = now;
      void this.services.duty.join(dutyLeaseMs).then(result => {
        this.services.postCompletion(receivedAt => {
          this.receiveGrant(result, now, receivedAt);
        });
      });
    },
    renewDuty: (now: Milliseconds): void => {
      if (now - this.renewedAt >= dutyRenewPauseMs) {
        this.chartActions.requestDuty(now);
      }
    },
    noteHolding: (): void => {
      this.services.log.info('This gateway places layers now.', {
        fencingToken: this.fencingToken,
      });
    },
    noteReleased: (): void => {
      this.services.log.info('This gateway no longer places layers.', {
        fencingToken: this.fencingToken,
      });
    },
    placeLayers: (now: Milliseconds): void => {
      this.settleSeen(now);
      if (!this.isFleetComplete(now)) {
        return;
      }
      for (const service of this.services.listServices()) {
        this.placeService(service, now);
      }
    },
    leaveGroup: (): void => {
      void this.services.duty.leave();
    },
    hasLease: (now: Milliseconds): boolean => now < this.leaseUntil,
  };

  private receiveGrant(
    result: Result<DutyGrant>,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): void {
    if (result.err) {
      this.services.log.warn(
        'The leader lease for placing layers was not renewed.',
        {
          reason: result.val.message,
          leaseMs: Math.round(this.leaseUntil - now),
        },
      );
      return;
    }
    this.services.setShare(result.val.share, now);
    this.fencingToken = result.val.fencingToken;
    if (result.val.isHolder) {
      this.leaseUntil = sentAt + dutyLeaseMs;
    }
    this.chart.send({ type: result.val.isHolder ? 'GRANTED' : 'DENIED' }, now);
  }

  /** At the start servers join one by one; a plan made too early would split the model badly. */
  private isFleetComplete(now: Milliseconds): boolean {
    const { startedAt, book } = this.services;
    return (
      now - startedAt >= settleBoundMs || now - book.lastJoinAt >= settlePauseMs
    );
  }

  private settleSeen(now: Milliseconds): void {
    for (const order of [...this.underWay.values()]) {
      const { range } = order.server.record;
      const isSeen =
        range?.from === order.range.from && range.to === order.range.to;
      if (isSeen || !this.services.book.find(order.server.record.serverId)) {
        order.noteSeen(now);
      }
    }
  }

  private placeService(service: BackendService, now: Milliseconds): void {
    if (!service.model) {
      return;
    }
    this.checkOverdue(service, now);
    const servers = this.services.book
      .listAll(service.name)
      .filter(server => !server.record.isLeaving && server.isTrusted);
    const stages = servers.map(server => this.viewServer(server));
    const plan = this.services.placement.planPlacement(service.model, stages);
    for (const server of servers) {
      const range = plan.get(server.record.serverId);
      if (range) {
        this.sendOrder(server, range, now);
      }
    }
  }

  private viewServer(server: Server): StageServer {
    const order = this.underWay.get(server.record.serverId);
    return {
      ...viewStage(server),
      range: order && !order.isAvoided ? order.range : server.record.range,
      isBusy: order !== undefined,
    };
  }

  /**
   * Probes servers whose heartbeat is overdue. The store removes a silent server
   * only after three missed heartbeats; a probe finds out sooner.
   */
  private checkOverdue(service: BackendService, now: Milliseconds): void {
    const { book, heartbeatMs, losses } = this.services;
    if (!book.isCurrent) {
      return;
    }
    const boundMs = heartbeatMs * (1 + heartbeatLateShare) + serverReadPauseMs;
    for (const server of book.listAll(service.name)) {
      if (now - server.heardAt > boundMs) {
        losses.checkServer(server, 'its heartbeat is overdue', now);
      }
    }
  }

  private sendOrder(
    server: Server,
    range: LayerRange,
    now: Milliseconds,
  ): void {
    const { serverId } = server.record;
    const order = new LayerOrder(
      this.orderMachine,
      this.services,
      server,
      range,
      this.fencingToken,
      () => this.underWay.delete(serverId),
    );
    this.underWay.set(serverId, order);
    this.orders += 1;
    order.start(now);
  }
}

/** Binds the chart `dutyHolder`. Fails with `BadChart`. */
export const bindDutyChart = (): Result<DutyMachine> =>
  bindChart<LayerPlacer, DutyEvent>(ChartName.DutyHolder, {
    actions: {
      requestDuty: (placer, _, now) => {
        placer.chartActions.requestDuty(now);
      },
      renewDuty: (placer, _, now) => {
        placer.chartActions.renewDuty(now);
      },
      noteHolding: placer => {
        placer.chartActions.noteHolding();
      },
      noteReleased: placer => {
        placer.chartActions.noteReleased();
      },
      placeLayers: (placer, _, now) => {
        placer.chartActions.placeLayers(now);
      },
      leaveGroup: placer => {
        placer.chartActions.leaveGroup();
      },
    },
    guards: {
      hasLease: (placer, _, now) => placer.chartActions.hasLease(now),
    },
    delays: {
      RENEW_PAUSE: () => dutyRenewPauseMs,
      PLAN_PAUSE: () => planPauseMs,
    },
  });
