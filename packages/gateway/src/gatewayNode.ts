/**
 * A gateway: accepts calls over HTTP and forwards them to backend servers. The
 * platform's store provides the configuration, the list of servers and the
 * election of the gateway that places layers. Everything runs on one event loop
 * on one thread. Context of the chart `lifecycle`.
 */
import type { ChartInstance } from '@lycheetally/charts';
import {
  LogComponent,
  bytesPerMebibyte,
  millisecondsPerSecond,
  getOrThrow,
  type Address,
  type LoggerFactory,
  type Milliseconds,
  type ComponentLogger,
  type Result,
} from '@lycheetally/common';
import {
  LargestFirstMemory,
  NewestWhenLate,
  Outcome,
  RepairMode,
  SlidingRetryBudget,
  SurvivalForecast,
  createPlacement,
  isFreshEnough,
  computeBufferBytes,
  type GatewayConfiguration,
  type InFlight,
  type Moment,
} from '@lycheetally/decisions';
import {
  EventLoop,
  MonotonicClock,
  V8GarbageCollector,
} from '@lycheetally/node';
import { CheapestBalance, type CallBalance } from './balance/callBalance.js';
import { LoadExchange } from './balance/loadExchange.js';
import { formatServerKey } from './balance/loadMessage.js';
import { HttpLoadReports } from './balance/loadPorts.js';
import { LoadReceiver } from './balance/loadReceiver.js';
import { SpreadBalance } from './balance/spreadBalance.js';
import { bindCallChart, type CallMachine } from './calls/callActions.js';
import type { CallFormat } from './callFormat.js';
import { CallIntake, type QueuedCall } from './calls/callIntake.js';
import { describeUnread, type CallerExchange } from './callers/callerPort.js';
import {
  forecastSettings,
  lingerTimeoutMs,
  closeConnectionsAfterMs,
  defaultMemoryMebibytes,
} from './constants.js';
import { bindAttemptChart } from './attempt/attemptChart.js';
import { drainTimeoutFault, stoppingFault } from './calls/drainAdmission.js';
import { DrainPeriod } from './calls/drainPeriod.js';
import type { GatewayAttempt } from './attempt/gatewayAttempt.js';
import { GatewayCall, type CallServices } from './calls/gatewayCall.js';
import { addGauges } from './gatewayGauges.js';
import { GatewayMetrics } from './gatewayMetrics.js';
import type { Server } from './servers/server.js';
import { GatewayServers } from './servers/gatewayServers.js';
import {
  ChainChoice,
  Switch,
  type GatewaySettings,
} from './gatewaySettings.js';
import { HttpBackend } from './httpBackend.js';
import type { HttpCaller } from './callers/httpCaller.js';
import { excessLogLimit } from './callers/constants.js';
import { computeFrontendLimits } from './callers/frontendLimits.js';
import { HttpFrontend, type CallHandler } from './callers/httpFrontend.js';
import { bindOrderChart } from './placement/layerOrder.js';
import { bindLeaderChart, LayerPlacer } from './placement/layerPlacer.js';
import { createOrderRules } from './placement/orderRules.js';
import {
  bindLifecycleChart,
  type LifecycleActions,
  type LifecycleEvent,
} from './lifecycleChart.js';
import { listenWhenFree } from './listenWhenFree.js';
import { LimitedLog } from './limitedLog.js';
import { reportFindings } from './reportFindings.js';
import { LoopMonitor } from './loopMonitor.js';
import type {
  LeaderElectionPort,
  ServerControlPort,
  TableRecord,
} from './ports.js';
import { StatusPages } from './statusPages.js';
import { GatewayNews, type NewsSources } from './news/gatewayNews.js';
import { WaitingCalls } from './calls/waitingCalls.js';
import {
  AdmissionMode,
  createPlaces,
  type CallPlaces,
} from './waiting/callPlaces.js';
import { Suspects } from './suspects/suspects.js';

/** Interfaces that a platform's adapter implements for a gateway. */
export interface GatewayPorts extends NewsSources {
  readonly format: CallFormat;
  readonly leaderElection: LeaderElectionPort;
  readonly control: ServerControlPort;
}

interface GatewayEvents {
  readonly completion: (now: Milliseconds) => void;
}

export class GatewayNode {
  readonly metrics = new GatewayMetrics();
  readonly frontend: HttpFrontend;
  readonly pages: StatusPages;
  private readonly clock = new MonotonicClock();
  private readonly loop = new EventLoop<GatewayEvents>(this.clock);
  private readonly log: ComponentLogger;
  private readonly callerLog: LimitedLog;
  private readonly backend: HttpBackend;
  private readonly bufferMemory: LargestFirstMemory<GatewayAttempt>;
  private readonly retryBudget: SlidingRetryBudget;
  private readonly waitingCalls = new WaitingCalls();
  private readonly places: CallPlaces;
  private readonly servers: GatewayServers;
  private readonly placer: LayerPlacer;
  private readonly news: GatewayNews;
  private readonly loadExchange: LoadExchange | undefined;
  private readonly suspects: Suspects;
  private readonly callMachine: CallMachine;
  private readonly callServices: CallServices;
  private readonly drainPeriod = new DrainPeriod();
  private readonly intakeOrder = new NewestWhenLate();
  private readonly intake = new CallIntake(this.intakeOrder, (call, now) => {
    this.takeCall(call, now);
  });
  private readonly calls = new Map<CallerExchange, GatewayCall>();
  private readonly lifecycle: ChartInstance<GatewayNode, LifecycleEvent>;
  private configuration: GatewayConfiguration | undefined;
  /** The newest version in the store, as read; lower than the one in force after the store lost it. */
  private storedVersion = 0;
  private isDrainingConnections = false;
  private hasEnded = false;

  constructor(
    private settings: GatewaySettings,
    private readonly ports: GatewayPorts,
    private readonly loggers: LoggerFactory,
    private readonly handleStopped: () => void,
  ) {
    const startedAt = this.clock.getNow();
    this.log = loggers.createLogger(LogComponent.Process);
    this.callerLog = new LimitedLog(this.log, excessLogLimit);
    this.backend = new HttpBackend(ports.format, this.loop.viewGate);
    this.bufferMemory = new LargestFirstMemory(
      computeBufferBytes(this.memoryBytes),
    );
    this.callMachine = getOrThrow(bindCallChart());
    this.retryBudget = new SlidingRetryBudget({
      ratio: settings.rules.retryRatio,
      slack: settings.rules.retrySlack,
      windowMs: settings.rules.retryWindowSeconds * millisecondsPerSecond,
    });
    this.servers = this.createServers();
    this.suspects = this.createSuspects();
    this.loadExchange = this.createLoadExchange();
    this.news = this.createNews();
    this.placer = this.createPlacer(startedAt);
    this.servers.lossHandler.serverLost.subscribe(now => {
      this.placer.noteLoss(now);
    });
    this.places = createPlaces(
      settings.waiting?.admission ?? AdmissionMode.Unlimited,
      {
        timers: this.loop,
        metrics: this.metrics,
        getRandom: Math.random,
        postCompletion: run => {
          this.post(run);
        },
      },
    );
    this.callServices = this.createCallServices();
    this.frontend = this.createFrontend();
    this.pages = new StatusPages(this.metrics.registry, () => this.isReady);
    this.lifecycle = getOrThrow(
      bindLifecycleChart<GatewayNode>(),
    ).createInstance(this, this.loop);
    this.loop.setHandlers({
      completion: (run, now) => {
        run(now);
      },
    });
    this.loop.setSource(this.intake);
    const monitor = new LoopMonitor(this.metrics, this.log);
    this.loop.turnMeasured.subscribe(turn => {
      monitor.observe(turn, this.clock.getNow());
    });
    this.loop.handlerFailed.subscribe(({ kind, thrown }) => {
      this.log.error('A handler of the loop failed.', {
        kind,
        error: describeThrown(thrown),
      });
    });
    // Before anything else is posted, so that no stop signal comes too early.
    this.post(now => {
      this.lifecycle.start(now);
    });
    addGauges(this.metrics, {
      connections: this.backend.counts,
      countCalls: () => this.calls.size,
      countQueued: () => this.intake.count,
      countBufferedBytes: () => this.bufferMemory.totalBytes,
      countCallerBytes: () => this.frontend.callerBytes,
      countCallerConnections: () => this.frontend.callerConnections,
      countUnreadable: () => this.servers.registry.unreadableCount,
      countDoubted: () => this.servers.registry.doubtedCount,
      countLimited: () => this.servers.registry.limitedCount,
      countSilent: () => this.servers.registry.silentCount,
      getVersion: () => this.configuration?.version ?? 0,
      placer: this.placer,
      news: this.news,
      loadExchange: this.loadExchange,
      suspects: this.suspects,
    });
  }

  /** Whether the load balancer should send calls to this gateway. */
  get isReady(): boolean {
    return this.lifecycle.matches('ready') && this.isFresh;
  }

  /** Whether it has stopped, or is about to end its process. */
  get hasStopped(): boolean {
    return this.lifecycle.matches('stopped');
  }

  /**
   * Starts to listen and to follow the store; returns the address for callers. An
   * address that is not free is waited for. Fails with `BadAddress`.
   */
  async start(): Promise<Result<Address>> {
    const { callers, readiness } = this.settings.listen;
    const listening = await this.listenWhenFree(() =>
      this.frontend.listen(callers),
    );
    if (listening.err) {
      return listening;
    }
    const page = await this.listenWhenFree(() => this.pages.listen(readiness));
    if (page.err) {
      return page;
    }
    const news = await this.listenWhenFree(() => this.news.listen());
    if (news.err) {
      return news;
    }
    this.post(now => {
      if (!this.hasStopped) {
        this.news.start(now);
        this.loadExchange?.start(now);
        this.suspects.start(now);
        if (!this.settings.listen.gateways) {
          this.suspects.notePeersRead(now);
        }
        this.placer.start(now);
      }
    });
    this.log.info('The gateway started.', {
      domain: this.settings.process.failureDomain,
      callers: `${callers.host}:${String(callers.port)}`,
    });
    void this.listenForMetrics();
    return listening;
  }

  /** Calls don't depend on the metrics, so that the gateway serves without waiting for their address. */
  private async listenForMetrics(): Promise<void> {
    const { metrics } = this.settings.listen;
    const page =
      metrics &&
      (await this.listenWhenFree(() =>
        this.pages.listen(metrics, this.suspects.page),
      ));
    if (page?.err) {
      this.log.error('The metrics are not served.', {
        reason: page.val.message,
      });
    } else {
      this.log.info('The gateway listens on all addresses.');
    }
  }

  private listenWhenFree<T>(
    listen: () => Promise<Result<T>>,
  ): Promise<Result<T>> {
    const { clock, log } = this;
    const hasStopped = (): boolean => this.hasStopped;
    return listenWhenFree(listen, { clock, log, hasStopped });
  }

  /** Applies settings that changed while the process runs. */
  reload(settings: GatewaySettings): void {
    this.settings = settings;
    this.log.info('The settings were read again.', {
      drainSeconds: settings.process.drainSeconds,
    });
  }

  /** Notes that changed settings cannot be used; the earlier ones stay in force. */
  noteBadSettings(reason: string): void {
    this.log.warn('The settings cannot be used; the earlier ones stay.', {
      reason,
    });
  }

  /**
   * Stops after an error that no code caught. What it left undone is not known, so the
   * process does not go on; but its open calls are most likely sound, and are finished.
   */
  stopUnexpectedly(thrown: unknown): void {
    this.log.error('An unexpected error stops the gateway.', {
      error: describeThrown(thrown),
    });
    this.stop();
  }

  /** Finishes the open calls and stops, within the time that the platform allows. */
  stop(): void {
    this.post(now => {
      this.lifecycle.send({ type: 'STOP' }, now);
    });
  }

  dispose(): void {
    this.frontend.dispose();
    this.pages.dispose();
    this.backend.dispose();
    this.servers.dispose();
    this.loadExchange?.dispose();
    this.news.dispose();
    this.suspects.dispose();
    this.placer.dispose();
    this.places.dispose();
  }

  /** Actions and delays of the lifecycle chart. */
  readonly lifecycleActions: LifecycleActions = {
    recordReady: (): void => {
      this.log.info('The gateway serves.', {
        configuration: this.configuration?.version ?? 0,
      });
    },
    recordDraining: (): void => {
      this.log.info('The gateway is stopping.', { openCalls: this.calls.size });
    },
    stopAdmission: (now: Milliseconds): void => {
      this.drainPeriod.begin(now, this.graceMs);
      this.frontend.beginDrain();
      this.placer.resign(now);
      this.loop.schedule(closeConnectionsAfterMs, closedAt => {
        this.isDrainingConnections = true;
        this.frontend.closeIdle();
        this.checkDrained(closedAt);
      });
    },
    reportForcedStop: (): void => {
      this.log.warn('The drain timeout is reached; cancelling open calls.', {
        openCalls: this.calls.size,
        openStreams: this.openStreams.length,
      });
    },
    cancelOpenWork: (now: Milliseconds): void => {
      const unanswered = [...this.calls.values()].filter(
        call => !call.hasStartedResponse,
      );
      cancelCalls(unanswered, now);
      this.frontend.refuseIncomplete({
        ...stoppingFault,
        outcome: Outcome.NotRun,
      });
    },
    finishProcess: (now: Milliseconds): void => {
      if (!this.drainPeriod.hasBegun) {
        this.drainPeriod.begin(now, this.graceMs);
      }
      cancelCalls(this.openStreams, now);
      const timeout = this.loop.schedule(
        this.computeLastAnswersTime(now),
        () => {
          this.endProcess();
        },
      );
      // A call that still arrives must not count on the rest of the grace period.
      this.drainPeriod.end(now);
      this.frontend.finish(() => {
        timeout.dispose();
        this.post(() => {
          this.endProcess();
        });
      });
      this.frontend.refuseIncomplete({
        ...stoppingFault,
        outcome: Outcome.NotRun,
      });
    },
    computeDrainTimeout: (now: Milliseconds): Milliseconds =>
      this.drainPeriod.timeoutAt - now,
    computeLastStreamsTime: (now: Milliseconds): Milliseconds =>
      Math.max(0, this.drainPeriod.lastStreamsAt - now),
  };

  /** The calls whose response has begun and goes on. */
  private get openStreams(): GatewayCall[] {
    return [...this.calls.values()].filter(call => call.hasStartedResponse);
  }

  private get memoryBytes(): number {
    const { limits } = this.settings;
    return (limits?.memoryMb ?? defaultMemoryMebibytes) * bytesPerMebibyte;
  }

  private get graceMs(): Milliseconds {
    return this.settings.process.drainSeconds * millisecondsPerSecond;
  }

  /** Time in which the last answers may still reach their callers. */
  private computeLastAnswersTime(now: Milliseconds): Milliseconds {
    const timeLeftMs = Math.max(0, this.drainPeriod.exitAt - now);
    return Math.min(lingerTimeoutMs, timeLeftMs);
  }

  private endProcess(): void {
    if (this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    this.log.info('The gateway stopped.');
    this.dispose();
    this.handleStopped();
  }

  private get isFresh(): boolean {
    return isFreshEnough(
      this.news.configurations.confirmedAt,
      this.getMoment(),
      this.settings.rules.revokeMs,
    );
  }

  private post(run: (now: Milliseconds) => void): void {
    this.loop.post('completion', run);
  }

  private getMoment(): Moment {
    return { monotonic: this.clock.getNow(), wallClock: Date.now() };
  }

  private createFrontend(): HttpFrontend {
    const handler: CallHandler = {
      receiveCall: (received, caller) => {
        this.intake.add({ received, caller, queuedAt: this.clock.getNow() });
        this.loop.scheduleTurn();
      },
      receiveDisconnect: caller => {
        const call = this.calls.get(caller);
        if (call) {
          call.leftAt = this.clock.getNow();
        }
        this.loop.postEnd('completion', now => {
          this.receiveDisconnect(caller, now);
        });
      },
      noteResponseClosed: () => {
        this.postDrainCheck();
      },
      noteUnfinished: ({ requestId = '' }, { status, message }) => {
        this.metrics.countRefused(status);
        this.log.info('A call was refused before it was passed on.', {
          request: requestId,
          reason: message,
          bufferedBytes: this.bufferMemory.totalBytes,
        });
      },
      noteRefused: (status, reason) => {
        this.metrics.countRefused(status);
        this.log.warn('A malformed request was refused.', { status, reason });
      },
      noteDropped: ({ requestId = '' }) => {
        this.metrics.countDropped();
        this.log.info('A call came on a closing connection and was dropped.', {
          request: requestId,
        });
      },
      noteConnectionClosed: reason => {
        this.metrics.countConnectionClosed(reason);
      },
      noteExcess: (fields, now) => {
        this.callerLog.write(
          'A connection was closed, since callers hold too much.',
          fields,
          now,
        );
      },
      deferReading: run => {
        this.clock.defer(run);
      },
      postCompletion: run => {
        this.post(run);
      },
      getNow: () => this.clock.getNow(),
      estimateArrival: now => this.loop.estimateArrival(now),
      noteAccepted: now => {
        this.loop.noteAccepted();
        return this.loop.estimateConnection(now);
      },
    };
    return new HttpFrontend(
      this.ports.format,
      handler,
      this.loop,
      this.bufferMemory,
      computeFrontendLimits(this.settings),
      new V8GarbageCollector(),
    );
  }

  private createNews(): GatewayNews {
    const loadReceiver =
      this.loadExchange && this.createLoadReceiver(this.loadExchange);
    return new GatewayNews(this.settings, this.ports, {
      timers: this.loop,
      loggers: this.loggers,
      postCompletion: run => {
        this.post(run);
      },
      getMoment: () => this.getMoment(),
      countNews: isRelayed => {
        this.metrics.countNews(isRelayed);
      },
      handlePeersRead: now => {
        this.suspects.notePeersRead(now);
      },
      receiveParts: (incoming, response) => {
        this.suspects.receive(incoming, response);
      },
      receiveLoad:
        loadReceiver &&
        ((incoming, response) => {
          loadReceiver.receive(incoming, response);
        }),
      applyConfigurations: (records, isComplete, now) => {
        this.noteStored(records, isComplete);
        this.applyConfigurations(records, now);
      },
      isConfigurationStored: () =>
        this.storedVersion >= (this.configuration?.version ?? 0),
      applyServers: (records, isComplete, now) => {
        this.servers.registry.apply(records, isComplete, now);
        this.places.noteServersChanged(now);
      },
    });
  }

  private createSuspects(): Suspects {
    return new Suspects(this.settings.process.id, {
      timers: this.loop,
      log: this.loggers.createLogger(LogComponent.Prompts),
      listPeers: () => this.news.listPeers(),
      postCompletion: run => {
        this.post(run);
      },
      countMessage: isAnswered => {
        this.metrics.countSuspectMessage(isAnswered);
      },
      describeFleet: (service, now) =>
        this.servers.registry.describeTrouble(service, now),
    });
  }

  private createServers(): GatewayServers {
    return new GatewayServers({
      timers: this.loop,
      log: this.loggers.createLogger(LogComponent.Servers),
      metrics: this.metrics,
      control: this.ports.control,
      waitingCalls: this.waitingCalls,
      ownId: this.settings.process.id,
      getOutage: () => this.news.servers,
      getConfiguration: () => this.configuration,
      getGatewayIds: () => this.news.gatewayIds,
      getWallClock: () => this.getMoment().wallClock,
      listCalls: () => this.calls.values(),
      postCompletion: run => {
        this.post(run);
      },
    });
  }

  private createPlacer(startedAt: Milliseconds): LayerPlacer {
    const repair = this.settings.placement?.repair ?? RepairMode.Continuous;
    return new LayerPlacer(
      getOrThrow(bindLeaderChart()),
      getOrThrow(bindOrderChart()),
      {
        timers: this.loop,
        log: this.loggers.createLogger(LogComponent.Layers),
        leaderElection: this.ports.leaderElection,
        control: this.ports.control,
        placement: createPlacement(repair),
        orderRules: createOrderRules(repair),
        serverRegistry: this.servers.registry,
        startedAt,
        heartbeatMs: this.settings.rules.heartbeatMs,
        lossHandler: this.servers.lossHandler,
        setShare: (share, now) => {
          this.retryBudget.setShare(share, now);
          this.servers.registry.gatewayShare = share;
        },
        postCompletion: run => {
          this.post(run);
        },
        listServices: () => this.configuration?.services.values() ?? [],
      },
    );
  }

  /** Load reports, if they are switched on and other gateways can reach this one. */
  private createLoadExchange(): LoadExchange | undefined {
    const { balance, listen, process } = this.settings;
    if (balance?.loadReports !== Switch.On || !listen.gateways) {
      return undefined;
    }
    const { registry } = this.servers;
    return new LoadExchange({
      timers: this.loop,
      log: this.loggers.createLogger(LogComponent.Servers),
      port: new HttpLoadReports(),
      ownId: process.id,
      failureDomain: process.failureDomain,
      incarnation: this.getMoment().wallClock,
      chooseRelay: () => this.news.chooseRelay(),
      listRelaysElsewhere: () => this.news.listRelaysElsewhere(),
      listFlights: () =>
        new Map(
          registry
            .listInUse()
            .map(server => [formatKey(server), getFlight(server)]),
        ),
      postCompletion: run => {
        this.post(run);
      },
    });
  }

  private createLoadReceiver(exchange: LoadExchange): LoadReceiver {
    return new LoadReceiver({
      log: this.loggers.createLogger(LogComponent.Servers),
      postCompletion: run => {
        this.post(run);
      },
      receiveReport: (report, now) => exchange.receiveReport(report, now),
    });
  }

  private createBalance(): CallBalance {
    const { registry } = this.servers;
    const { balance, process } = this.settings;
    return balance?.chains === ChainChoice.Sampled
      ? new SpreadBalance({
          ownId: process.id,
          counts: registry,
          findServer: serverId => registry.find(serverId),
          findOthers: server =>
            this.loadExchange?.findOthers(formatKey(server)),
          handleChanged: () => {
            this.loadExchange?.noteChanged();
          },
        })
      : new CheapestBalance(registry);
  }

  private createCallServices(): CallServices {
    const { rules, process } = this.settings;
    return {
      timers: this.loop,
      log: this.loggers.createLogger(LogComponent.Calls),
      metrics: this.metrics,
      format: this.ports.format,
      backend: this.backend,
      control: this.ports.control,
      balance: this.createBalance(),
      retryPolicy: this.retryBudget,
      serverRegistry: this.servers.registry,
      attemptMachine: getOrThrow(bindAttemptChart()),
      suspects: this.suspects.tracker,
      waitingCalls: this.waitingCalls,
      places: this.places,
      bufferMemory: this.bufferMemory,
      intakeOrder: this.intakeOrder,
      homeDomain: process.failureDomain,
      revokeTimeoutMs: rules.revokeMs,
      getConfiguration: () => this.configuration,
      getConfirmedAt: () => this.news.configurations.confirmedAt,
      getMoment: () => this.getMoment(),
      measureViewAge: now => this.loop.viewGate.measureAge(now),
      lossHandler: this.servers.lossHandler,
      drainPeriod: this.drainPeriod,
      durationForecast: new SurvivalForecast(forecastSettings),
      isCancellingCalls: () =>
        this.lifecycle.matches('forcedStop') ||
        this.lifecycle.matches('stopped'),
      postCompletion: run => {
        this.post(run);
      },
      handleCallEnded: call => {
        this.handleCallEnded(call);
      },
    };
  }

  private takeCall(
    { received, caller, queuedAt }: QueuedCall,
    now: Milliseconds,
  ): void {
    const { arrivedAt, receivedAt } = received;
    this.metrics.observeIntake(receivedAt - arrivedAt, now - queuedAt);
    if (caller.hasLeft) {
      this.metrics.countLeft();
      this.log.info('A call was dropped, since its caller had left.', {
        request: received.fields.requestId ?? '',
        ...describeUnread(received),
        queuedMs: Math.round(now - queuedAt),
      });
      return;
    }
    const call = new GatewayCall(
      this.callServices,
      received,
      caller,
      queuedAt,
      now,
    );
    this.calls.set(caller, call);
    call.instance = this.callMachine.createInstance(call, this.loop);
    call.instance.start(now);
  }

  private receiveDisconnect(caller: HttpCaller, now: Milliseconds): void {
    this.calls
      .get(caller)
      ?.instance?.send({ type: 'CALLER_DISCONNECTED' }, now);
  }

  private handleCallEnded(call: GatewayCall): void {
    this.calls.delete(call.caller);
    this.postDrainCheck();
  }

  private postDrainCheck(): void {
    if (this.isDrainingConnections) {
      this.post(now => {
        this.checkDrained(now);
      });
    }
  }

  private checkDrained(now: Milliseconds): void {
    if (this.isDrainingConnections && this.frontend.openCalls === 0) {
      this.lifecycle.send({ type: 'DRAINED' }, now);
    }
  }

  private noteStored(
    records: readonly TableRecord<GatewayConfiguration>[],
    isComplete: boolean,
  ): void {
    const versions = records.map(({ value }) => value?.version ?? 0);
    const known = isComplete ? 0 : this.storedVersion;
    this.storedVersion = Math.max(known, ...versions);
    const inForce = this.configuration?.version ?? 0;
    if (this.storedVersion < inForce) {
      this.log.warn('The store lacks the configuration in force.', {
        stored: this.storedVersion,
        inForce,
      });
    }
  }

  private applyConfigurations(
    records: readonly TableRecord<GatewayConfiguration>[],
    now: Milliseconds,
  ): void {
    for (const { key, value, fault } of records) {
      if (fault !== undefined) {
        this.log.warn('A configuration cannot be read.', { key, fault });
      } else if (value) {
        this.applyConfiguration(value, now);
      }
    }
  }

  private applyConfiguration(
    configuration: GatewayConfiguration,
    now: Milliseconds,
  ): void {
    const before = this.configuration?.version ?? -1;
    if (configuration.version <= before) {
      return;
    }
    this.configuration = configuration;
    this.frontend.applyLimits(configuration.limits);
    this.log.info('A configuration is in force.', {
      configuration: configuration.version,
      before,
      services: configuration.services.size,
      keys: configuration.keys?.size ?? 0,
    });
    reportFindings(this.log, configuration.declared, this.memoryBytes);
    this.lifecycle.send({ type: 'READY' }, now);
  }
}

const formatKey = ({ record }: Server): string =>
  formatServerKey(record.service, record.serverId);

const getFlight = ({ calls, layerTokens }: Server): InFlight => ({
  calls,
  layerTokens,
});

/** Cancels calls for the drain timeout. */
const cancelCalls = (
  calls: readonly GatewayCall[],
  now: Milliseconds,
): void => {
  for (const { instance } of calls) {
    instance?.send({ type: 'STOPPING', fault: drainTimeoutFault }, now);
  }
};

const describeThrown = (thrown: unknown): string =>
  thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown);
