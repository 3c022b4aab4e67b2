/** The peer network on Connect streams over HTTP/2. */
import {
  createServer,
  type Http2Server,
  type ServerHttp2Session,
} from 'node:http2';
import {
  Err,
  Ok,
  toMessage,
  type Address,
  type Result,
} from '@lycheetally/common';
import {
  PeerService,
  decodeFrame,
  encodeFrame,
  type Frame,
  type PeerFrame,
} from '@lycheetally/protocol';
import { createClient, type ConnectRouter } from '@connectrpc/connect';
import {
  Http2SessionManager,
  connectNodeAdapter,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {
  PeerNetwork,
  PeerStream,
  type PeerStreamListener,
} from '../ports/peerNetwork.js';
import { AsyncQueue } from './asyncQueue.js';
import { startListening } from '@lycheetally/node';

/** The largest frame that is accepted from a peer, in bytes. */
const maxFrameBytes = 16 * 1_024 * 1_024;

class ConnectStream extends PeerStream {
  readonly outgoing = new AsyncQueue<Frame>();
  private isClosed = false;

  constructor(private readonly closeConnection: () => void) {
    super();
  }

  override send(frame: PeerFrame): void {
    this.outgoing.push(encodeFrame(frame));
  }

  override close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.outgoing.end();
    this.closeConnection();
  }
}

const readFrames = async (
  frames: AsyncIterable<Frame>,
  listener: PeerStreamListener,
): Promise<void> => {
  try {
    for await (const frame of frames) {
      listener.receiveFrame(decodeFrame(frame));
    }
    listener.handleClose('the peer closed the stream');
  } catch (thrown) {
    listener.handleClose(toMessage(thrown));
  }
};

export class ConnectPeerNetwork extends PeerNetwork {
  private server: Http2Server | undefined;
  private readonly sessions = new Set<ServerHttp2Session>();

  override openStream(
    address: string,
    listener: PeerStreamListener,
  ): PeerStream {
    const baseUrl = `http://${address}`;
    const sessions = new Http2SessionManager(baseUrl);
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: sessions,
      readMaxBytes: maxFrameBytes,
      acceptCompression: [],
    });
    const abort = new AbortController();
    const stream = new ConnectStream(() => {
      abort.abort();
      sessions.abort();
    });
    const client = createClient(PeerService, transport);
    const incoming = client.connect(stream.outgoing, { signal: abort.signal });
    void readFrames(incoming, listener);
    return stream;
  }

  override async listen(
    address: Address,
    accept: (stream: PeerStream) => PeerStreamListener,
  ): Promise<Result<Address>> {
    const routes = (router: ConnectRouter): void => {
      router.service(PeerService, {
        connect: (requests, context) =>
          serveStream(requests, context.signal, accept),
      });
    };
    const server = createServer(
      connectNodeAdapter({
        routes,
        readMaxBytes: maxFrameBytes,
        acceptCompression: [],
      }),
    );
    server.on('session', session => {
      this.sessions.add(session);
      session.on('close', () => this.sessions.delete(session));
    });
    const bound = await startListening(server, address);
    if (bound.err) {
      return Err(bound.val);
    }
    this.server = server;
    return Ok(bound.val);
  }

  override dispose(): void {
    this.server?.close();
    for (const session of this.sessions) {
      session.destroy();
    }
  }
}

async function* serveStream(
  requests: AsyncIterable<Frame>,
  signal: AbortSignal,
  accept: (stream: PeerStream) => PeerStreamListener,
): AsyncGenerator<Frame> {
  const stream = new ConnectStream(() => undefined);
  const listener = accept(stream);
  signal.addEventListener('abort', () => {
    stream.close();
  });
  void readFrames(requests, listener).finally(() => {
    stream.close();
  });
  yield* stream.outgoing;
}
