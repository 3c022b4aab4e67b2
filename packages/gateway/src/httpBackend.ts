/**
 * HTTP/1.1 client for backend servers.
 *
 * A connection that delivers unsolicited bytes is closed and not re-used. A
 * response belongs to a call only if it carries the call's request id.
 */
import {
  Agent,
  request as openRequest,
  type AgentOptions,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import {
  BackendExchange,
  BackendPort,
  type BackendListener,
  type BackendRequest,
} from './backendPort.js';
import type { CallFormat } from './callFormat.js';
import { backendIdleMs, sureConnectionMs } from './constants.js';

/** Connections opened, re-used, and closed because of unsolicited bytes (surplus). */
export interface ConnectionCounts {
  opened: number;
  reused: number;
  surplus: number;
}

const maxIdleConnections = 64;

/** Idle time before TCP keep-alive probes, which detect dead connections, in milliseconds. */
const keepAliveProbeMs = 1_000;

/** Keeps idle connections and closes those that deliver unsolicited bytes. */
class CleanAgent extends Agent {
  private readonly closeDirty = new WeakMap<Duplex, () => void>();

  constructor(
    options: AgentOptions,
    private readonly counts: ConnectionCounts,
  ) {
    super(options);
  }

  override keepSocketAlive(socket: Duplex): boolean {
    if (socket.readableLength > 0) {
      this.counts.surplus += 1;
      return false;
    }
    // Node returns whether the socket is kept, but its types declare no result.
    const keep: (socket: Duplex) => unknown = super.keepSocketAlive.bind(this);
    const isKept = keep(socket);
    const closeDirty = (): void => {
      this.counts.surplus += 1;
      socket.destroy();
    };
    socket.once('data', closeDirty);
    this.closeDirty.set(socket, closeDirty);
    return isKept !== false;
  }

  override reuseSocket(socket: Duplex, outgoing: ClientRequest): void {
    const closeDirty = this.closeDirty.get(socket);
    if (closeDirty) {
      socket.off('data', closeDirty);
      this.closeDirty.delete(socket);
    }
    this.counts.reused += 1;
    super.reuseSocket(socket, outgoing);
  }
}

export class HttpBackend extends BackendPort {
  readonly counts: ConnectionCounts = { opened: 0, reused: 0, surplus: 0 };
  private readonly common = this.createAgent(backendIdleMs);
  private readonly sure = this.createAgent(sureConnectionMs);

  constructor(private readonly format: CallFormat) {
    super();
  }

  override open(
    request: BackendRequest,
    listener: BackendListener,
  ): BackendExchange {
    const agent = request.needsSureConnection ? this.sure : this.common;
    return new HttpExchange(request, listener, this.format, agent, this.counts);
  }

  override dispose(): void {
    this.common.destroy();
    this.sure.destroy();
  }

  private createAgent(idleBoundMs: number): CleanAgent {
    const options = {
      keepAlive: true,
      maxFreeSockets: maxIdleConnections,
      scheduling: 'lifo',
      timeout: idleBoundMs,
    } as const;
    return new CleanAgent(options, this.counts);
  }
}

class HttpExchange extends BackendExchange {
  private readonly outgoing: ClientRequest;
  private incoming: IncomingMessage | undefined;
  private isOver = false;

  constructor(
    request: BackendRequest,
    private readonly listener: BackendListener,
    private readonly format: CallFormat,
    agent: Agent,
    private readonly counts: ConnectionCounts,
  ) {
    super();
    const [host = '', port = ''] = request.address.split(':');
    this.outgoing = openRequest({
      host,
      port: Number(port),
      method: request.method,
      path: request.target,
      headers: request.headers,
      agent,
    });
    this.listen();
    this.outgoing.end(request.body);
  }

  override close(): void {
    this.isOver = true;
    this.outgoing.destroy();
  }

  override pause(): void {
    this.incoming?.pause();
  }

  override resume(): void {
    this.incoming?.resume();
  }

  private listen(): void {
    const { outgoing } = this;
    outgoing.on('socket', socket => {
      this.handleSocket(socket);
    });
    outgoing.on('response', incoming => {
      this.handleResponse(incoming);
    });
    outgoing.on('error', error => {
      this.fail(error.message);
    });
    outgoing.on('upgrade', (_, socket) => {
      socket.destroy();
      this.fail('the server changed the protocol');
    });
  }

  private handleSocket(socket: Socket): void {
    socket.setNoDelay(true);
    if (!socket.connecting) {
      this.listener.handleConnected();
      return;
    }
    this.counts.opened += 1;
    socket.setKeepAlive(true, keepAliveProbeMs);
    socket.once('connect', () => {
      if (!this.isOver) {
        this.listener.handleConnected();
      }
    });
  }

  private handleResponse(incoming: IncomingMessage): void {
    if (this.isOver) {
      incoming.destroy();
      return;
    }
    this.incoming = incoming;
    const status = incoming.statusCode ?? 0;
    incoming.on('data', (chunk: Buffer) => {
      if (!this.isOver) {
        this.listener.handleBody(chunk);
      }
    });
    incoming.on('end', () => {
      if (!incoming.complete) {
        this.fail('the answer ended early');
      } else if (!this.isOver) {
        this.isOver = true;
        this.listener.handleEnd();
      }
    });
    incoming.on('error', error => {
      this.fail(error.message);
    });
    incoming.on('close', () => {
      this.fail('the connection was closed in the middle of the answer');
    });
    this.listener.handleHead({
      status,
      statusText: incoming.statusMessage ?? '',
      fields: this.format.readAnswer(status, incoming.rawHeaders),
    });
  }

  private fail(reason: string): void {
    if (this.isOver) {
      return;
    }
    this.isOver = true;
    this.outgoing.destroy();
    this.listener.handleFailure(reason);
  }
}
