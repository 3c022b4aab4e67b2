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
  LayeredModel,
  PlacementPolicy,
  StageServer,
} from '@lycheetally/decisions';
import {
  heartbeatLateShare,
  placementIntervalMs,
  serverReadIntervalMs,
  maxFirstPlacementWaitMs,
  joinQuietPeriodMs,
} from '../constants.js';
import {
  LayerOrder,
  type OrderMachine,
  type OrderServices,
} from './layerOrder.js';
import {
  GroupMember,
  bindMemberChart,
  type MemberMachine,
  type MemberServices,
} from './groupMember.js';
import { jointLossMs } from './constants.js';
import { OrderBackoff } from './orderBackoff.js';
import type { OrderRules } from './orderRules.js';
import type { Server } from '../servers/server.js';
import {
  toStageServer,
  type ServerRegistry,
} from '../servers/serverRegistry.js';
import type { ServerLossHandler } from '../servers/serverLossHandler.js';

export interface LeaderEvent {
  readonly type: 'GRANTED' | 'DENIED' | 'SERVER_LOST' | 'RESIGN';
}

/** The charts of the leader and of its membership in the group. */
export interface LeaderMachine {
  readonly duty: ChartMachine<LayerPlacer, LeaderEvent>;
  readonly member: MemberMachine;
}

export interface PlacerServices extends OrderServices, MemberServices {
  readonly placement: PlacementPolicy;
  readonly orderRules: OrderRules;
  readonly serverRegistry: ServerRegistry;
  readonly startedAt: Milliseconds;
  /** Interval between two heartbeats of a server. */
  readonly heartbeatMs: Milliseconds;
  readonly lossHandler: Pick<ServerLossHandler, 'checkServer'>;
  listServices(): Iterable<BackendService>;
}

export class LayerPlacer {
  /** Orders sent since the start. */
  orders = 0;
  private readonly pendingOrders = new Map<string, LayerOrder>();
  private readonly backoff = new OrderBackoff();
  private readonly member: GroupMember;
  private readonly chart: ChartInstance<LayerPlacer, LeaderEvent>;

  constructor(
    machine: LeaderMachine,
    private readonly orderMachine: OrderMachine,
    private readonly services: PlacerServices,
  ) {
    this.chart = machine.duty.createInstance(this, services.timers);
    this.member = new GroupMember(machine.member, services, (isLeader, now) => {
      this.chart.send({ type: isLeader ? 'GRANTED' : 'DENIED' }, now);
    });
  }

  get isLeader(): boolean {
    return this.chart.matches('leading');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
    this.member.start(now);
  }

  resign(now: Milliseconds): void {
    this.chart.send({ type: 'RESIGN' }, now);
    this.member.resign(now);
  }

  /** Handles the loss of a server, which may be one of several. */
  noteLoss(now: Milliseconds): void {
    this.chart.send({ type: 'SERVER_LOST' }, now);
  }

  dispose(): void {
    this.member.dispose();
    this.chart.dispose();
    for (const order of this.pendingOrders.values()) {
      order.dispose();
    }
  }

  readonly chartActions = {
    noteElected: (): void => {
      this.services.log.info('This gateway places layers now.', {
        fencingToken: this.member.fencingToken,
      });
    },
    noteLeaseEnded: (): void => {
      this.services.log.info('This gateway no longer places layers.', {
        fencingToken: this.member.fencingToken,
      });
    },
    placeLayers: (now: Milliseconds): void => {
      this.updateOrders(now);
      if (!this.isReadyToPlace(now)) {
        return;
      }
      for (const service of this.services.listServices()) {
        this.placeService(service, now);
      }
    },
    hasLease: (now: Milliseconds): boolean => this.member.hasLease(now),
    wantsPlanAtLoss: (): boolean => this.services.orderRules.wantsPlanAtLoss,
  };

  /** At the start servers join one by one; a plan made too early would split the model badly. */
  private isReadyToPlace(now: Milliseconds): boolean {
    const { startedAt, serverRegistry } = this.services;
    return (
      now - startedAt >= maxFirstPlacementWaitMs ||
      now - serverRegistry.lastJoinAt >= joinQuietPeriodMs
    );
  }

  private updateOrders(now: Milliseconds): void {
    for (const order of [...this.pendingOrders.values()]) {
      if (order.isRefusalOver) {
        this.backoff.clear(order.server);
      }
      if (
        order.isApplied ||
        order.isRefusalOver ||
        order.isVoid ||
        !this.services.serverRegistry.find(order.server.record.serverId)
      ) {
        order.noteResolved(now);
      }
    }
  }

  private placeService(service: BackendService, now: Milliseconds): void {
    if (!service.model) {
      return;
    }
    this.checkHeartbeats(service, now);
    const { serverRegistry } = this.services;
    const servers = serverRegistry.listPlanned(service.name, now);
    const stages = servers.map(server =>
      this.toPlannedServer(server, service.model),
    );
    const plan = this.services.placement.planPlacement(service.model, stages);
    for (const server of servers) {
      const range = plan.get(server.record.serverId);
      if (range) {
        this.sendOrder(server, range, now);
      }
    }
  }

  private toPlannedServer(
    server: Server,
    model: LayeredModel | undefined,
  ): StageServer {
    const order = this.pendingOrders.get(server.record.serverId);
    const isLoading = order !== undefined && !order.isCoolingDown;
    const range = order ? order.heldRange : server.record.range;
    // A server that claims layers that the model does not have holds none that can be planned with.
    const held = range && model && range.to > model.layers ? undefined : range;
    return {
      ...toStageServer(server),
      range: isLoading ? order.range : held,
      isBusy: order !== undefined || server.isSilent,
      isLoading,
    };
  }

  /**
   * Probes servers whose heartbeat is overdue. The store removes a silent server
   * only after three missed heartbeats; a probe finds out sooner.
   */
  private checkHeartbeats(service: BackendService, now: Milliseconds): void {
    const { serverRegistry, heartbeatMs, lossHandler } = this.services;
    if (!serverRegistry.isStoreAvailable) {
      return;
    }
    const maxAgeMs =
      heartbeatMs * (1 + heartbeatLateShare) + serverReadIntervalMs;
    for (const server of serverRegistry.listAll(service.name)) {
      if (now - server.lastAliveAt > maxAgeMs) {
        lossHandler.checkServer(server, 'its heartbeat is overdue', now);
      }
    }
  }

  /** Has a server probed that gets the same order again; until it is known to be lost, it is counted on. */
  private handleUnanswered(server: Server, now: Milliseconds): void {
    const { orderRules, lossHandler } = this.services;
    if (orderRules.mayRepeat(0)) {
      lossHandler.checkServer(server, 'it did not answer an order', now);
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
      this.member.fencingToken,
      {
        backoff: this.backoff,
        mayOrder: time => this.isLeader && this.member.hasLease(time),
        rules: this.services.orderRules,
        handleUnanswered: time => {
          this.handleUnanswered(server, time);
        },
        handleFinished: () => this.pendingOrders.delete(serverId),
      },
    );
    this.pendingOrders.set(serverId, order);
    this.orders += 1;
    order.start(now);
  }
}

/** Binds the charts `dutyHolder` and `groupMember`. Fails with `BadChart`. */
export const bindLeaderChart = (): Result<LeaderMachine> =>
  bindMemberChart().andThen(member =>
    bindDutyChart().map(duty => ({ duty, member })),
  );

const bindDutyChart = (): Result<LeaderMachine['duty']> =>
  bindChart<LayerPlacer, LeaderEvent>(ChartName.DutyHolder, {
    actions: {
      noteElected: placer => {
        placer.chartActions.noteElected();
      },
      noteLeaseEnded: placer => {
        placer.chartActions.noteLeaseEnded();
      },
      placeLayers: (placer, _, now) => {
        placer.chartActions.placeLayers(now);
      },
    },
    guards: {
      hasLease: (placer, _, now) => placer.chartActions.hasLease(now),
      wantsPlanAtLoss: placer => placer.chartActions.wantsPlanAtLoss(),
    },
    delays: {
      JOINT_LOSS: () => jointLossMs,
      PLACEMENT_INTERVAL: () => placementIntervalMs,
    },
  });
