/**
 * Base class of entries and agents: the event loop, the event log, the
 * lifecycle chart, the channels to peers and the operators' port.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
} from '@lycheetally/charts';
import {
  DisposableStore,
  Emitter,
  LogComponent,
  LoggerFactory,
  toMessage,
  type Address,
  type EventRecord,
  type Milliseconds,
  type ComponentLogger,
  type Result,
  getOrThrow,
} from '@lycheetally/common';
import type { Hello, PeerMessage } from '@lycheetally/protocol';
import { Registry } from 'prom-client';
import { OperatorsServer, OperatorsView } from './adapters/operatorsHttp.js';
import type { Clock } from '@lycheetally/node';
import { forcedStopTimeoutMs } from './constants.js';
import { EventLog } from './eventLog.js';
import { EventLoop, type EventHandlers } from '@lycheetally/node';
import { NodeMetrics } from './metrics/nodeMetrics.js';
import type { OperationsSettings } from './processSettings.js';
import {
  bindIncomingChart,
  IncomingChannel,
  type IncomingMachine,
} from './peers/incomingChannel.js';
import {
  bindOutgoingChart,
  OutgoingChannel,
  type OutgoingMachine,
} from './peers/outgoingChannel.js';
import {
  PeerHandler,
  type PeerChannel,
  type PeerEvents,
  type PeerServices,
} from './peers/peerChannel.js';
import type {
  PeerNetwork,
  PeerStream,
  PeerStreamListener,
} from './ports/peerNetwork.js';

import {
  filterEvents,
  type EventPage,
  type EventQuery,
} from './timeline/eventPage.js';

/** Events that the event loop of every node handles. */
export interface NodeEvents extends PeerEvents {
  peerAccepted: { channel: IncomingChannel };
  stopRequested: { signal: string };
}

interface LifecycleEvent {
  readonly type: 'READY' | 'STOP' | 'DRAINED';
}

/** Settings common to all nodes. */
export interface NodeSettings {
  readonly id: string;
  readonly failureDomain: string;
  readonly drainTimeoutMs: Milliseconds;
  /** Settings for timeline, metrics and ledger; defaults apply when absent. */
  readonly operations?: OperationsSettings | undefined;
}

/** External dependencies common to all nodes. */
export interface NodePorts {
  readonly clock: Clock;
  readonly network: PeerNetwork;
  readonly loggers: LoggerFactory;
}

/** Forwards the events of channels to their node. */
class NodePeerHandler extends PeerHandler {
  constructor(private readonly node: RouterNode<never>) {
    super();
  }

  override handleOpen(channel: PeerChannel, now: Milliseconds): void {
    this.node.handlePeerOpen(channel, now);
  }

  override handleLost(channel: PeerChannel, now: Milliseconds): void {
    this.node.handlePeerLost(channel, now);
  }

  override handleUnreachable(channel: PeerChannel, now: Milliseconds): void {
    this.node.handlePeerUnreachable(channel, now);
  }

  override handleMessage(
    channel: PeerChannel,
    message: PeerMessage,
    now: Milliseconds,
  ): void {
    this.node.handlePeerMessage(channel, message, now);
  }
}

export abstract class RouterNode<
  Events extends NodeEvents,
> extends OperatorsView {
  readonly incarnation: string;
  readonly events: EventLog;
  readonly loop: EventLoop<Events>;
  /** Emits once, when the process may exit. */
  readonly stopped = new Emitter<true>();

  protected readonly registry = new Registry();
  protected readonly store = new DisposableStore();
  protected readonly log: ComponentLogger;
  protected readonly clock: Clock;
  private readonly lifecycle: ChartInstance<RouterNode<Events>, LifecycleEvent>;
  private readonly peerServices: PeerServices;
  private readonly outgoingMachine: OutgoingMachine;
  private readonly incomingMachine: IncomingMachine;
  private readonly channelsToFlush = new Set<PeerChannel>();

  /** Throws `BadChart` when a chart does not match the code bound to it. */
  constructor(
    protected readonly settings: NodeSettings,
    protected readonly ports: NodePorts,
    component: LogComponent,
  ) {
    super();
    this.clock = ports.clock;
    this.incarnation = `${settings.id}.${ports.clock.getNow().toString(36)}`;
    this.events = new EventLog(
      settings.id,
      settings.operations?.timelineEvents,
    );
    this.log = ports.loggers.createLogger(component);
    this.loop = new EventLoop<Events>(ports.clock);
    this.outgoingMachine = getOrThrow(bindOutgoingChart());
    this.incomingMachine = getOrThrow(bindIncomingChart());
    this.peerServices = this.createPeerServices();
    this.lifecycle = getOrThrow(bindLifecycle<Events>()).createInstance(
      this,
      this.loop,
    );
    this.subscribeToLoop();
    if (this.isMetricsEnabled) {
      const isReady = (): boolean => this.isReady();
      const metrics = new NodeMetrics(this.registry, this.events, isReady);
      this.store.add(metrics.store);
    }
  }

  /** Whether the process collects metrics. */
  protected get isMetricsEnabled(): boolean {
    return this.settings.operations?.metrics !== 'off';
  }

  /** Describes this process to its peers. */
  abstract describeSelf(): Hello;
  abstract handlePeerOpen(channel: PeerChannel, now: Milliseconds): void;
  abstract handlePeerLost(channel: PeerChannel, now: Milliseconds): void;
  /** An attempt to open a channel failed; the channel tries again. */
  abstract handlePeerUnreachable(channel: PeerChannel, now: Milliseconds): void;
  abstract handlePeerMessage(
    channel: PeerChannel,
    message: PeerMessage,
    now: Milliseconds,
  ): void;
  /** Stops accepting new work. */
  protected abstract stopAdmission(now: Milliseconds): void;
  /** Cancels the open work; each piece still ends with its actual outcome. */
  protected abstract cancelOpenWork(now: Milliseconds): void;
  /** Counts the pieces of work that have not ended. */
  protected abstract countOpenWork(): number;

  /** Starts the lifecycle; the node is ready afterwards. */
  protected startLifecycle(now: Milliseconds): void {
    this.lifecycle.start(now);
    this.lifecycle.send({ type: 'READY' }, now);
  }

  override isReady(): boolean {
    return this.lifecycle.matches('ready');
  }

  get isStopping(): boolean {
    return (
      this.lifecycle.matches('draining') ||
      this.lifecycle.matches('forcedStop') ||
      this.lifecycle.matches('stopped')
    );
  }

  override listEvents(): readonly EventRecord[] {
    return this.events.list();
  }

  override describeEvents(query: EventQuery): EventPage {
    return {
      process: this.settings.id,
      incarnation: this.incarnation,
      now: this.clock.getNow(),
      overwritten: this.events.overwritten,
      events: filterEvents(this.events.list(), query),
    };
  }

  /** Starts a graceful stop. Called from outside the event loop. */
  requestStop(signal: string): void {
    this.loop.post('stopRequested', { signal });
  }

  /** Notes that the settings may have changed; they are read at the start only. */
  noteHangup(): void {
    this.log.warn(
      'SIGHUP changes nothing; restart the process to apply changed settings',
    );
  }

  override requestDrain(): void {
    this.requestStop('operator');
  }

  /** Ends the drain when no open work remains. */
  protected checkDrained(now: Milliseconds): void {
    if (this.isStopping && this.countOpenWork() === 0) {
      this.lifecycle.send({ type: 'DRAINED' }, now);
    }
  }

  /** Creates the handlers of the events that every node handles. */
  protected createNodeHandlers(): EventHandlers<NodeEvents> {
    return {
      peerAccepted: ({ channel }, now) => {
        channel.start(now);
      },
      peerFrame: ({ channel, stream, frame }, now) => {
        channel.receiveFrame(stream, frame, now);
      },
      peerClosed: ({ channel, stream }, now) => {
        channel.receiveClose(stream, now);
      },
      stopRequested: ({ signal }, now) => {
        this.log.info('Stopping once open work has ended', { signal });
        this.lifecycle.send({ type: 'STOP' }, now);
      },
    };
  }

  /** Opens a channel to a peer and keeps it open. */
  protected createOutgoingChannel(
    address: string,
    now: Milliseconds,
  ): OutgoingChannel {
    const channel = new OutgoingChannel(
      this.outgoingMachine,
      this.peerServices,
      address,
    );
    channel.start(now);
    return channel;
  }

  /** Accepts a stream. Called from outside the event loop. */
  protected acceptStream(stream: PeerStream): PeerStreamListener {
    const channel = new IncomingChannel(
      this.incomingMachine,
      this.peerServices,
      stream,
    );
    this.loop.post('peerAccepted', { channel });
    return channel.listener;
  }

  /** Opens the operators' port. Throws `BadAddress`. */
  protected async listenForOperators(address: Address): Promise<Address> {
    const server = new OperatorsServer(this, this.registry);
    this.store.add(server);
    return getOrThrow(await server.listen(address));
  }

  dispose(): void {
    this.store.dispose();
    this.ports.network.dispose();
  }

  private createPeerServices(): PeerServices {
    return {
      sink: this.loop,
      timers: this.loop,
      network: this.ports.network,
      events: this.events,
      log: this.ports.loggers.createLogger(LogComponent.Peers),
      handler: new NodePeerHandler(this as unknown as RouterNode<never>),
      channelsToFlush: this.channelsToFlush,
      describeSelf: () => this.describeSelf(),
    };
  }

  private subscribeToLoop(): void {
    this.store.add(
      this.loop.turnEnded.subscribe(now => {
        for (const channel of this.channelsToFlush) {
          channel.flush(now);
        }
        this.channelsToFlush.clear();
      }),
    );
    this.store.add(
      this.loop.handlerFailed.subscribe(({ kind, thrown }) => {
        const stack = thrown instanceof Error ? (thrown.stack ?? '') : '';
        this.log.error('A handler failed', {
          kind,
          fault: toMessage(thrown),
          stack,
        });
      }),
    );
  }

  /** Actions of the lifecycle chart. */
  readonly lifecycleActions = {
    recordReady: (now: Milliseconds): void => {
      this.log.info('Ready');
      this.events.record('ready', now);
    },
    recordDraining: (now: Milliseconds): void => {
      this.events.record('draining', now, {
        detail: { open: this.countOpenWork() },
      });
    },
    stopAdmission: (now: Milliseconds): void => {
      this.stopAdmission(now);
      this.loop.schedule(0, later => {
        this.checkDrained(later);
      });
    },
    reportForcedStop: (now: Milliseconds): void => {
      const open = this.countOpenWork();
      this.log.error('The drain timeout is reached; cancelling open work', {
        open,
      });
      this.events.record('drain-bound-reached', now, { detail: { open } });
    },
    cancelOpenWork: (now: Milliseconds): void => {
      this.cancelOpenWork(now);
    },
    finishProcess: (now: Milliseconds): void => {
      this.log.info('Stopped');
      this.events.record('stopped', now);
      this.stopped.emit(true);
    },
  };

  get drainTimeoutMs(): Milliseconds {
    return this.settings.drainTimeoutMs;
  }
}

const bindLifecycle = <Events extends NodeEvents>(): Result<
  ChartMachine<RouterNode<Events>, LifecycleEvent>
> =>
  bindChart<RouterNode<Events>, LifecycleEvent>(ChartName.Lifecycle, {
    actions: {
      recordReady: (node, _, now) => {
        node.lifecycleActions.recordReady(now);
      },
      recordDraining: (node, _, now) => {
        node.lifecycleActions.recordDraining(now);
      },
      stopAdmission: (node, _, now) => {
        node.lifecycleActions.stopAdmission(now);
      },
      reportForcedStop: (node, _, now) => {
        node.lifecycleActions.reportForcedStop(now);
      },
      cancelOpenWork: (node, _, now) => {
        node.lifecycleActions.cancelOpenWork(now);
      },
      finishProcess: (node, _, now) => {
        node.lifecycleActions.finishProcess(now);
      },
    },
    guards: {},
    delays: {
      DRAIN_TIMEOUT: node => node.drainTimeoutMs,
      FORCED_STOP_TIMEOUT: () => forcedStopTimeoutMs,
    },
  });
