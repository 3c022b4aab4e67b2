/**
 * A channel that this process opens, and opens again when it is lost.
 *
 * Heartbeats detect a connection that stops responding. Each stream uses a
 * connection of its own, so a replacement does not depend on the old one.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
} from '@lycheetally/charts';
import type { Milliseconds, Result } from '@lycheetally/common';
import { MessageKind } from '@lycheetally/protocol';
import {
  connectTimeoutMs,
  heartbeatIntervalMs,
  idleHeartbeatIntervalMs,
  reconnectDelayMs,
  reopenDelayMs,
  heartbeatTimeoutMs,
} from '../constants.js';
import type { PeerStream } from '../ports/peerNetwork.js';
import {
  PeerChannel,
  type ConnectionEvent,
  type PeerServices,
} from './peerChannel.js';

export type OutgoingMachine = ChartMachine<OutgoingChannel, ConnectionEvent>;

export class OutgoingChannel extends PeerChannel {
  protected readonly chart: ChartInstance<never, ConnectionEvent>;
  private pingCount = 0;

  constructor(
    machine: OutgoingMachine,
    services: PeerServices,
    /** Address of the peer, as `host:port`. */
    readonly address: string,
  ) {
    super(services);
    this.chart = machine.createInstance(this, services.timers) as ChartInstance<
      never,
      ConnectionEvent
    >;
  }

  override get isOpen(): boolean {
    return this.chart.matches('open');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  openStream(now: Milliseconds): void {
    const opened: { stream?: PeerStream } = {};
    const listener = this.createListener(
      () => opened.stream ?? this.failNotOpen(),
    );
    opened.stream = this.services.network.openStream(this.address, listener);
    this.stream = opened.stream;
    this.send({ kind: MessageKind.Hello, value: this.services.describeSelf() });
    this.flush(now);
  }

  sendPing(): void {
    this.pingCount += 1;
    this.send({ kind: MessageKind.Ping, value: { sequence: this.pingCount } });
  }

  reportOpen(now: Milliseconds): void {
    this.services.events.record('peer-open', now, this.describeEvent());
    this.services.handler.handleOpen(this, now);
  }

  reportLost(now: Milliseconds): void {
    this.services.events.record('peer-lost', now, this.describeEvent());
    this.services.handler.handleLost(this, now);
  }

  reportUnreachable(now: Milliseconds): void {
    this.services.handler.handleUnreachable(this, now);
  }

  recordSilence(now: Milliseconds): void {
    this.services.log.warn('Replacing a connection that stopped responding', {
      peer: this.address,
    });
    this.services.events.record('peer-silent', now, this.describeEvent());
  }

  private describeEvent(): { detail: { peer: string } } {
    return { detail: { peer: this.remote?.nodeId ?? this.address } };
  }

  private failNotOpen(): never {
    throw new Error(
      `The stream to ${this.address} reported an event before it was open`,
    );
  }
}

/** Binds the chart `peerConnection`. Fails with `BadChart`. */
export const bindOutgoingChart = (): Result<OutgoingMachine> =>
  bindChart<OutgoingChannel, ConnectionEvent>(ChartName.PeerConnection, {
    actions: {
      openStream: (channel, _, now) => {
        channel.openStream(now);
      },
      closeStream: channel => {
        channel.closeStream();
      },
      reportOpen: (channel, _, now) => {
        channel.reportOpen(now);
      },
      reportLost: (channel, _, now) => {
        channel.reportLost(now);
      },
      reportUnreachable: (channel, _, now) => {
        channel.reportUnreachable(now);
      },
      sendPing: channel => {
        channel.sendPing();
      },
      clearTraffic: channel => {
        channel.trafficCount = 0;
      },
      recordSilence: (channel, _, now) => {
        channel.recordSilence(now);
      },
    },
    guards: { hadTraffic: channel => channel.trafficCount > 0 },
    delays: {
      HEARTBEAT_INTERVAL: () => heartbeatIntervalMs,
      QUIET_HEARTBEAT_INTERVAL: () => idleHeartbeatIntervalMs,
      SILENCE_TIMEOUT: () => heartbeatTimeoutMs,
      CONNECT_TIMEOUT: () => connectTimeoutMs,
      REOPEN_DELAY: () => reopenDelayMs,
      RECONNECT_DELAY: () => reconnectDelayMs,
    },
  });
