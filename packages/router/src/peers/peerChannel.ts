/**
 * A channel to another process of the system.
 *
 * Messages sent in one turn of the event loop are batched into one frame. Frames
 * received from a stream that was replaced are dropped.
 */
import type { ChartInstance, ChartTimers } from '@lycheetally/charts';
import type { Milliseconds, ComponentLogger } from '@lycheetally/common';
import {
  MessageKind,
  type Hello,
  type MessageOf,
  type PeerFrame,
  type PeerMessage,
} from '@lycheetally/protocol';
import { tokenFlushIntervalMs } from '../constants.js';
import type { EventLog } from '../eventLog.js';
import type {
  PeerNetwork,
  PeerStream,
  PeerStreamListener,
} from '../ports/peerNetwork.js';

/** Events that streams post to the event loop. */
export interface PeerEvents {
  peerFrame: { channel: PeerChannel; stream: PeerStream; frame: PeerFrame };
  peerClosed: { channel: PeerChannel; stream: PeerStream; reason: string };
}

/** The event loop as streams see it. */
export interface PeerEventSink {
  post<K extends keyof PeerEvents>(kind: K, payload: PeerEvents[K]): void;
}

/** Receives the events and messages of a node's channels. */
export abstract class PeerHandler {
  /** The peer's first message has arrived. */
  abstract handleOpen(channel: PeerChannel, now: Milliseconds): void;
  /** The channel's stream is lost; an outgoing channel opens another. */
  abstract handleLost(channel: PeerChannel, now: Milliseconds): void;
  /** An attempt to open the channel has failed; another one follows. */
  abstract handleUnreachable(channel: PeerChannel, now: Milliseconds): void;
  abstract handleMessage(
    channel: PeerChannel,
    message: PeerMessage,
    now: Milliseconds,
  ): void;
}

/** Dependencies shared by all channels of a process. */
export interface PeerServices {
  readonly sink: PeerEventSink;
  readonly timers: ChartTimers;
  readonly network: PeerNetwork;
  readonly events: EventLog;
  readonly log: ComponentLogger;
  readonly handler: PeerHandler;
  /** Channels with messages to send at the end of the turn. */
  readonly channelsToFlush: Set<PeerChannel>;
  /** Describes this process to the peer. */
  describeSelf(): Hello;
}

/** Events of the connection charts. */
export interface ConnectionEvent {
  readonly type: 'OPENED' | 'CLOSED' | 'PONG_RECEIVED' | 'TRAFFIC' | 'STOP';
}

export abstract class PeerChannel {
  /** The peer's `Hello` message; `undefined` until it arrives. */
  remote: Hello | undefined;
  /** Frames received since the last check for silence. */
  receivedFrameCount = 0;
  /** Messages other than heartbeats, sent or received, since the last check. */
  trafficCount = 0;

  protected stream: PeerStream | undefined;
  protected abstract readonly chart: ChartInstance<never, ConnectionEvent>;
  private outbox: PeerMessage[] = [];
  private lastFlushAt = 0;
  private isFlushScheduled = false;

  constructor(protected readonly services: PeerServices) {}

  abstract get isOpen(): boolean;

  /** Queues a message for the end of the turn; drops it when the channel is lost. */
  send(message: PeerMessage): void {
    this.outbox.push(message);
    this.countTraffic(message.kind);
    this.services.channelsToFlush.add(this);
  }

  /**
   * Sends the queued messages as one frame. Tokens for an entry wait until
   * `tokenFlushIntervalMs` have passed since the last frame, so that tokens of
   * many requests share a frame. Tokens between stages never wait, since the
   * next position depends on them.
   */
  flush(now: Milliseconds): void {
    if (this.outbox.length === 0 || this.isFlushScheduled) {
      return;
    }
    if (this.trafficCount > 0) {
      this.chart.send({ type: 'TRAFFIC' }, now);
    }
    const delayMs = this.lastFlushAt + tokenFlushIntervalMs - now;
    if (delayMs > 0 && this.mayDelayFlush()) {
      this.scheduleFlush(delayMs);
      return;
    }
    this.sendFrame(now);
  }

  private countTraffic(kind: MessageKind): void {
    if (kind !== MessageKind.Ping && kind !== MessageKind.Pong) {
      this.trafficCount += 1;
    }
  }

  private mayDelayFlush(): boolean {
    return (
      this.remote !== undefined &&
      this.remote.backend === undefined &&
      this.outbox.every(message => message.kind === MessageKind.Token)
    );
  }

  private scheduleFlush(delayMs: Milliseconds): void {
    this.isFlushScheduled = true;
    this.services.timers.schedule(delayMs, now => {
      this.isFlushScheduled = false;
      this.sendFrame(now);
    });
  }

  private sendFrame(now: Milliseconds): void {
    const messages = this.outbox;
    this.outbox = [];
    this.lastFlushAt = now;
    this.stream?.send({
      stamp: this.services.events.createTimestamp(now),
      messages,
    });
  }

  /** Handles a frame of one of this channel's streams. */
  receiveFrame(stream: PeerStream, frame: PeerFrame, now: Milliseconds): void {
    if (stream !== this.stream) {
      return;
    }
    this.receivedFrameCount += 1;
    this.services.events.observeTimestamp(frame.stamp);
    for (const message of frame.messages) {
      this.countTraffic(message.kind);
      this.receiveMessage(message, now);
    }
  }

  /** Handles the end of one of this channel's streams. */
  receiveClose(stream: PeerStream, now: Milliseconds): void {
    if (stream === this.stream) {
      this.chart.send({ type: 'CLOSED' }, now);
    }
  }

  /** Closes the channel; it is not opened again. */
  stop(now: Milliseconds): void {
    this.chart.send({ type: 'STOP' }, now);
  }

  /** Closes the current stream and drops the queued messages. */
  closeStream(): void {
    const stream = this.stream;
    this.stream = undefined;
    this.outbox = [];
    stream?.close();
  }

  protected createListener(getStream: () => PeerStream): PeerStreamListener {
    const { sink } = this.services;
    return {
      receiveFrame: frame => {
        sink.post('peerFrame', { channel: this, stream: getStream(), frame });
      },
      handleClose: reason => {
        sink.post('peerClosed', { channel: this, stream: getStream(), reason });
      },
    };
  }

  private receiveMessage(message: PeerMessage, now: Milliseconds): void {
    switch (message.kind) {
      case MessageKind.Hello:
        this.receiveHello(message, now);
        return;
      case MessageKind.Ping:
        this.send({ kind: MessageKind.Pong, value: message.value });
        return;
      case MessageKind.Pong:
        this.chart.send({ type: 'PONG_RECEIVED' }, now);
        return;
      default:
        this.services.handler.handleMessage(this, message, now);
    }
  }

  protected receiveHello(message: MessageOf<'hello'>, now: Milliseconds): void {
    this.remote = message.value;
    this.chart.send({ type: 'OPENED' }, now);
  }
}
