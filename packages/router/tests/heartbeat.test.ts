/** An idle connection sends few heartbeats; the first message after that sends one at once. */
import { describe, expect, it } from 'vitest';
import { LogComponent, LoggerFactory, Ok } from '@lycheetally/common';
import { MessageKind, type PeerFrame } from '@lycheetally/protocol';
import {
  EventLog,
  EventLoop,
  ManualClock,
  PeerNetwork,
  PeerStream,
  type PeerStreamListener,
} from '../src/index.js';
import {
  OutgoingChannel,
  bindOutgoingChart,
} from '../src/peers/outgoingChannel.js';
import {
  PeerHandler,
  type PeerChannel,
  type PeerEvents,
} from '../src/peers/peerChannel.js';

class IdleHandler extends PeerHandler {
  lost = 0;

  override handleOpen(): void {
    // Not needed by these tests.
  }

  override handleLost(): void {
    this.lost += 1;
  }

  override handleUnreachable(): void {
    // Not needed by these tests.
  }

  override handleMessage(): void {
    // The only messages are heartbeats.
  }
}

/** A peer that answers each ping unless it is silent. */
class AnsweringStream extends PeerStream {
  readonly pingTimes: number[] = [];
  isSilent = false;

  constructor(
    private readonly clock: ManualClock,
    private readonly listener: PeerStreamListener,
  ) {
    super();
  }

  override send(frame: PeerFrame): void {
    for (const { kind, value } of frame.messages) {
      if (kind === MessageKind.Ping) {
        this.pingTimes.push(this.clock.getNow());
        this.answer({
          stamp: 0,
          messages: [{ kind: MessageKind.Pong, value }],
        });
      }
      if (kind === MessageKind.Hello) {
        this.answer({
          stamp: 0,
          messages: [{ kind: MessageKind.Hello, value }],
        });
      }
    }
  }

  override close(): void {
    this.isSilent = true;
  }

  private answer(frame: PeerFrame): void {
    if (!this.isSilent) {
      this.listener.receiveFrame(frame);
    }
  }
}

class AnsweringNetwork extends PeerNetwork {
  readonly streams: AnsweringStream[] = [];

  constructor(private readonly clock: ManualClock) {
    super();
  }

  override openStream(_: string, listener: PeerStreamListener): PeerStream {
    const stream = new AnsweringStream(this.clock, listener);
    this.streams.push(stream);
    return stream;
  }

  override listen(): ReturnType<PeerNetwork['listen']> {
    return Promise.resolve(Ok({ host: '', port: 0 }));
  }

  override dispose(): void {
    // No stream outlives its test.
  }
}

const createChannel = (): {
  clock: ManualClock;
  network: AnsweringNetwork;
  handler: IdleHandler;
  channel: OutgoingChannel;
} => {
  const clock = new ManualClock();
  const loop = new EventLoop<PeerEvents>(clock);
  const network = new AnsweringNetwork(clock);
  const handler = new IdleHandler();
  const channelsToFlush = new Set<PeerChannel>();
  const services = {
    sink: loop,
    timers: loop,
    network,
    events: new EventLog('entry'),
    log: new LoggerFactory('entry', 'silent').createLogger(LogComponent.Peers),
    handler,
    channelsToFlush,
    describeSelf: () => ({
      nodeId: 'entry',
      incarnation: '1',
      failureDomain: 'a',
    }),
  };
  loop.setHandlers({
    peerFrame: ({ channel: each, stream, frame }, now) => {
      each.receiveFrame(stream, frame, now);
    },
    peerClosed: ({ channel: each, stream }, now) => {
      each.receiveClose(stream, now);
    },
  });
  loop.turnEnded.subscribe(now => {
    channelsToFlush.forEach(each => {
      each.flush(now);
    });
    channelsToFlush.clear();
  });
  const channel = new OutgoingChannel(
    bindOutgoingChart().unwrap(),
    services,
    'agent:1',
  );
  channel.start(0);
  clock.advance(5_000);
  return { clock, network, handler, channel };
};

describe('heartbeats', () => {
  it('are two seconds apart on an idle connection', () => {
    const { clock, network } = createChannel();
    const before = network.streams[0]?.pingTimes.length ?? 0;
    clock.advance(20_000);
    expect((network.streams[0]?.pingTimes.length ?? 0) - before).toBe(10);
  });

  it('are sent with the first message after an idle period', () => {
    const { clock, network, channel } = createChannel();
    clock.advance(100);
    channel.send({
      kind: MessageKind.Cancel,
      value: { requestId: 'r', attempt: 1 },
    });
    channel.flush(clock.getNow());
    expect(network.streams[0]?.pingTimes.at(-1)).toBe(clock.getNow());
  });

  it('detect in time a connection that was silent before the message', () => {
    const { clock, network, handler, channel } = createChannel();
    const [stream] = network.streams;
    if (stream) {
      stream.isSilent = true;
    }
    clock.advance(50);
    channel.send({
      kind: MessageKind.Cancel,
      value: { requestId: 'r', attempt: 1 },
    });
    channel.flush(clock.getNow());
    clock.advance(1_600);
    expect(handler.lost).toBe(1);
    expect(network.streams).toHaveLength(2);
  });
});
