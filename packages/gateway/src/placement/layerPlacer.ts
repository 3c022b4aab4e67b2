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
import type { Disposable, Milliseconds, Result } from '@lycheetally/common';
import type {
  BackendService,
  LayerRange,
  LayeredModel,
  PlacementPolicy,
  StageServer,
} from '@lycheetally/decisions';
import {
  leaderLeaseMs,
  leaseRenewIntervalMs,
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
import { OrderBackoff } from './orderBackoff.js';
import type { LeaderGrant, LeaderElectionPort } from '../ports.js';
import type { Server } from '../servers/server.js';
import {
  toStageServer,
  type ServerRegistry,
} from '../servers/serverRegistry.js';
import type { ServerLossHandler } from '../servers/serverLossHandler.js';

export interface LeaderEvent {
  readonly type: 'GRANTED' | 'DENIED' | 'GRANT_ENDED' | 'RESIGN';
}

export type LeaderMachine = ChartMachine<LayerPlacer, LeaderEvent>;

export interface PlacerServices extends OrderServices {
  readonly leaderElection: LeaderElectionPort;
  readonly placement: PlacementPolicy;
  readonly serverRegistry: ServerRegistry;
  readonly startedAt: Milliseconds;
  /** Interval between two heartbeats of a server. */
  readonly heartbeatMs: Milliseconds;
  readonly lossHandler: Pick<ServerLossHandler, 'checkServer'>;
  /** Sets this gateway's share of its group, from 0 to 1. */
  setShare(share: number, now: Milliseconds): void;
  listServices(): Iterable<BackendService>;
}

export class LayerPlacer {
  /** Orders sent since the start. */
  orders = 0;
  private fencingToken = 0;
  private leaseExpiresAt: Milliseconds = -Infinity;
  private leaseRequestedAt: Milliseconds = -Infinity;
  private leaseRequests: Promise<void> = Promise.resolve();
  private readonly pendingOrders = new Map<string, LayerOrder>();
  private readonly backoff = new OrderBackoff();
  private readonly subscription: Disposable;
  private readonly chart: ChartInstance<LayerPlacer, LeaderEvent>;

  constructor(
    machine: LeaderMachine,
    private readonly orderMachine: OrderMachine,
    private readonly services: PlacerServices,
  ) {
    this.chart = machine.createInstance(this, services.timers);
    this.subscription = services.leaderElection.grantEnded.subscribe(() => {
      services.postCompletion(now => {
        this.chart.send({ type: 'GRANT_ENDED' }, now);
      });
    });
  }

  get isLeader(): boolean {
    return this.chart.matches('leading');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  resign(now: Milliseconds): void {
    this.chart.send({ type: 'RESIGN' }, now);
  }

  dispose(): void {
    this.subscription.dispose();
    this.chart.dispose();
  }

  readonly chartActions = {
    requestLease: (now: Milliseconds): void => {
      this.leaseRequestedAt = now;
      const { services } = this;
      const request = services.leaderElection
        .join(leaderLeaseMs)
        .then(result => {
          services.postCompletion(receivedAt => {
            this.receiveGrant(result, now, receivedAt);
          });
        });
      const earlier = this.leaseRequests;
      this.leaseRequests = request.then(() => earlier);
    },
    renewLease: (now: Milliseconds): void => {
      if (now - this.leaseRequestedAt >= leaseRenewIntervalMs) {
        this.chartActions.requestLease(now);
      }
    },
    noteElected: (): void => {
      this.services.log.info('This gateway places layers now.', {
        fencingToken: this.fencingToken,
      });
    },
    noteLeaseEnded: (): void => {
      this.services.log.info('This gateway no longer places layers.', {
        fencingToken: this.fencingToken,
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
    leaveGroup: (): void => {
      // A renewal that arrives after the leave would join the group again.
      void this.leaseRequests.then(() => this.services.leaderElection.leave());
    },
    hasLease: (now: Milliseconds): boolean => this.hasLease(now),
  };

  private hasLease(now: Milliseconds): boolean {
    return now < this.leaseExpiresAt;
  }

  private receiveGrant(
    result: Result<LeaderGrant>,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): void {
    if (result.err) {
      this.services.log.warn(
        'The leader lease for placing layers was not renewed.',
        {
          reason: result.val.message,
          leaseMs: Math.round(this.leaseExpiresAt - now),
        },
      );
      return;
    }
    this.services.setShare(result.val.share, now);
    this.fencingToken = result.val.fencingToken;
    if (result.val.isLeader) {
      this.leaseExpiresAt = sentAt + leaderLeaseMs;
    }
    this.chart.send({ type: result.val.isLeader ? 'GRANTED' : 'DENIED' }, now);
  }

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
      {
        backoff: this.backoff,
        mayOrder: time => this.isLeader && this.hasLease(time),
        handleFinished: () => this.pendingOrders.delete(serverId),
      },
    );
    this.pendingOrders.set(serverId, order);
    this.orders += 1;
    order.start(now);
  }
}

/** Binds the chart `dutyHolder`. Fails with `BadChart`. */
export const bindLeaderChart = (): Result<LeaderMachine> =>
  bindChart<LayerPlacer, LeaderEvent>(ChartName.DutyHolder, {
    actions: {
      requestLease: (placer, _, now) => {
        placer.chartActions.requestLease(now);
      },
      renewLease: (placer, _, now) => {
        placer.chartActions.renewLease(now);
      },
      noteElected: placer => {
        placer.chartActions.noteElected();
      },
      noteLeaseEnded: placer => {
        placer.chartActions.noteLeaseEnded();
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
      RENEW_INTERVAL: () => leaseRenewIntervalMs,
      PLACEMENT_INTERVAL: () => placementIntervalMs,
    },
  });
