/** Builds what a gateway knows of backend servers: their list, what they say of themselves, and their losses. */
import type { ChartTimers } from '@lycheetally/charts';
import {
  DisposableStore,
  getOrThrow,
  type ComponentLogger,
  type Milliseconds,
} from '@lycheetally/common';
import {
  RotatingLimitShare,
  SharedLimitIntake,
  type GatewayConfiguration,
  type IntakePolicy,
} from '@lycheetally/decisions';
import type { GatewayCall } from '../calls/gatewayCall.js';
import type { GatewayMetrics } from '../gatewayMetrics.js';
import { HealthRequests } from './healthRequests.js';
import type { ServerControlPort } from '../ports.js';
import { bindHealthChart } from './server.js';
import { bindCheckChart } from './serverCheck.js';
import { bindIntakeChart } from './serverIntake.js';
import { bindListingChart, type StoreOutage } from './serverListing.js';
import { ServerLossHandler } from './serverLossHandler.js';
import { ServerRegistry } from './serverRegistry.js';
import type { WaitingCalls } from '../calls/waitingCalls.js';

export interface GatewayServersServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly metrics: GatewayMetrics;
  readonly control: ServerControlPort;
  readonly waitingCalls: WaitingCalls;
  readonly ownId: string;
  /** The latest outage of the store for the server list. */
  getOutage(): StoreOutage;
  getConfiguration(): GatewayConfiguration | undefined;
  /** Ids of the known gateways, the own one among them; another array after each change. */
  getGatewayIds(): readonly string[];
  /** Time of day, in Unix milliseconds. */
  getWallClock(): Milliseconds;
  listCalls(): Iterable<GatewayCall>;
  postCompletion(run: (now: Milliseconds) => void): void;
}

export class GatewayServers {
  readonly registry: ServerRegistry;
  readonly lossHandler: ServerLossHandler;
  private readonly healthRequests: HealthRequests;
  private readonly limitShare = new RotatingLimitShare();
  private readonly disposables = new DisposableStore();

  constructor(private readonly services: GatewayServersServices) {
    this.healthRequests = this.createHealthRequests();
    this.registry = this.createRegistry();
    this.lossHandler = this.createLossHandler();
    this.disposables.add(this.healthRequests);
    this.disposables.add(this.registry);
    this.disposables.add(
      services.control.leavingSeen.subscribe(address => {
        services.postCompletion(now => {
          this.noteLeaving(address, now);
        });
      }),
    );
  }

  dispose(): void {
    this.disposables.dispose();
  }

  /** Handles an answer to this gateway itself in which the server at the address said that it leaves. */
  private noteLeaving(address: string, now: Milliseconds): void {
    const server = this.registry.findByAddress(address);
    if (server) {
      this.registry.noteLeaving(server.record, now);
    }
  }

  private createRegistry(): ServerRegistry {
    const { services } = this;
    return new ServerRegistry({
      timers: services.timers,
      log: services.log,
      healthMachine: getOrThrow(bindHealthChart()),
      listingMachine: getOrThrow(bindListingChart()),
      intakeMachine: getOrThrow(bindIntakeChart()),
      createIntakePolicy: serverId => this.createIntakePolicy(serverId),
      getOutage: () => services.getOutage(),
      requestHealth: record => this.healthRequests.send(record),
      handleLost: (server, now) => {
        this.lossHandler.handleLost(server, now);
      },
      handleReturn: server => {
        this.resumeWaitingCalls(server.record.service);
      },
      postCompletion: run => {
        services.postCompletion(run);
      },
    });
  }

  /** Has each call that waits for silent servers choose again, in an event of its own: a choice may be expensive. */
  private resumeWaitingCalls(service: string): void {
    const { services } = this;
    for (const call of services.waitingCalls.listForSilent(service)) {
      services.postCompletion(now => {
        call.instance?.send({ type: 'SERVER_RETURNED' }, now);
      });
    }
  }

  private createIntakePolicy(serverId: string): IntakePolicy {
    const { services } = this;
    return new SharedLimitIntake(limitPerSecond =>
      this.limitShare.computeShare({
        serverId,
        limitPerSecond,
        ownId: services.ownId,
        gateways: services.getGatewayIds(),
        groupShare: this.registry.gatewayShare,
        wallClock: services.getWallClock(),
      }),
    );
  }

  private createHealthRequests(): HealthRequests {
    const { control, metrics } = this.services;
    return new HealthRequests({
      control,
      getHealthPath: service =>
        this.services.getConfiguration()?.services.get(service)?.healthPath ??
        '/',
      countProbe: () => {
        metrics.countProbe();
      },
    });
  }

  private createLossHandler(): ServerLossHandler {
    const { services } = this;
    return new ServerLossHandler(getOrThrow(bindCheckChart()), {
      timers: services.timers,
      control: services.control,
      metrics: services.metrics,
      serverRegistry: this.registry,
      postCompletion: run => {
        services.postCompletion(run);
      },
      listCalls: () => services.listCalls(),
    });
  }
}
