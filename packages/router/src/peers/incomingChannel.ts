/** A channel that a peer opened; it is closed when the peer stops sending. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
} from '@lycheetally/charts';
import type { Milliseconds, Result } from '@lycheetally/common';
import { MessageKind, type MessageOf } from '@lycheetally/protocol';
import { idleHeartbeatIntervalMs, heartbeatTimeoutMs } from '../constants.js';
import type { PeerStream, PeerStreamListener } from '../ports/peerNetwork.js';
import {
  PeerChannel,
  type ConnectionEvent,
  type PeerServices,
} from './peerChannel.js';

export type IncomingMachine = ChartMachine<IncomingChannel, ConnectionEvent>;

export class IncomingChannel extends PeerChannel {
  readonly listener: PeerStreamListener;
  protected readonly chart: ChartInstance<never, ConnectionEvent>;

  constructor(
    machine: IncomingMachine,
    services: PeerServices,
    stream: PeerStream,
  ) {
    super(services);
    this.stream = stream;
    this.listener = this.createListener(() => stream);
    this.chart = machine.createInstance(this, services.timers) as ChartInstance<
      never,
      ConnectionEvent
    >;
  }

  override get isOpen(): boolean {
    return this.remote !== undefined && this.chart.matches('open');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
    this.send({ kind: MessageKind.Hello, value: this.services.describeSelf() });
  }

  recordSilence(now: Milliseconds): void {
    this.services.log.warn('Closing a connection whose peer stopped sending', {
      peer: this.remote?.nodeId ?? 'unnamed',
    });
    this.services.events.record('peer-silent', now, {
      detail: { peer: this.remote?.nodeId ?? 'unnamed' },
    });
  }

  reportLost(now: Milliseconds): void {
    this.services.handler.handleLost(this, now);
  }

  protected override receiveHello(
    message: MessageOf<'hello'>,
    now: Milliseconds,
  ): void {
    this.remote = message.value;
    this.services.handler.handleOpen(this, now);
  }
}

/** Binds the chart `acceptedConnection`. Fails with `BadChart`. */
export const bindIncomingChart = (): Result<IncomingMachine> =>
  bindChart<IncomingChannel, ConnectionEvent>(ChartName.AcceptedConnection, {
    actions: {
      closeStream: channel => {
        channel.closeStream();
      },
      reportLost: (channel, _, now) => {
        channel.reportLost(now);
      },
      recordSilence: (channel, _, now) => {
        channel.recordSilence(now);
      },
      resetReceivedFrames: channel => {
        channel.receivedFrameCount = 0;
      },
    },
    guards: { hasReceivedFrames: channel => channel.receivedFrameCount > 0 },
    delays: {
      SILENCE_TIMEOUT: () => idleHeartbeatIntervalMs + heartbeatTimeoutMs,
    },
  });
