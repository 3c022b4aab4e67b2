/**
 * HTTP/1.1 client for backend servers.
 *
 * A connection that delivers unsolicited bytes is closed and not re-used. A
 * response belongs to a call only if it carries the call's request id. One whose head
 * could not be sent on is broken before it changes any state. One that only the end of its
 * connection delimits is broken if the connection was reset.
 */
import {
  Agent,
  request as openRequest,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import type { Socket } from 'node:net';
import { DisposableStore, toMessage } from '@lycheetally/common';
import {
  ConnectionEnd,
  ConnectionEndWatch,
  findResponseFault,
  isResetError,
  type ViewGate,
} from '@lycheetally/node';
import {
  BackendExchange,
  BackendPort,
  type BackendListener,
  type BackendRequest,
} from './backendPort.js';
import type { CallFormat, RawHeaders, ResponseFields } from './callFormat.js';
import { backendIdleMs, recentConnectionMs } from './constants.js';
import { SafeReuseAgent, type ConnectionCounts } from './safeReuseAgent.js';

/** Idle connections that are kept to one server. */
const maxIdleConnections = 64;

/** Idle time before TCP keep-alive probes, which detect dead connections, in milliseconds. */
const keepAliveProbeMs = 1_000;

export class HttpBackend extends BackendPort {
  readonly counts: ConnectionCounts = { opened: 0, reused: 0, surplus: 0 };
  private readonly defaultAgent = this.createAgent(backendIdleMs);
  private readonly recentAgent = this.createAgent(recentConnectionMs);
  private readonly unsharedAgent = new Agent({ keepAlive: false });

  constructor(
    private readonly format: CallFormat,
    /** Lets requests be written only by what was read recently: their callers may have left. */
    private readonly viewGate: ViewGate,
  ) {
    super();
  }

  override open(
    request: BackendRequest,
    listener: BackendListener,
  ): BackendExchange {
    const agent = this.chooseAgent(request);
    try {
      return new HttpExchange(
        request,
        listener,
        this.format,
        agent,
        this.counts,
        this.viewGate,
      );
    } catch (thrown) {
      // Node throws at once for an address, a target or a header that it does not send.
      return new UnsentExchange(listener, toMessage(thrown));
    }
  }

  override dispose(): void {
    this.defaultAgent.destroy();
    this.recentAgent.destroy();
    this.unsharedAgent.destroy();
  }

  private chooseAgent(request: BackendRequest): Agent {
    if (request.needsNewConnection) {
      return this.unsharedAgent;
    }
    return request.needsRecentConnection ? this.recentAgent : this.defaultAgent;
  }

  private createAgent(idleTimeoutMs: number): SafeReuseAgent {
    return new SafeReuseAgent(maxIdleConnections, idleTimeoutMs, this.counts);
  }
}

/** An exchange whose request cannot be formed. */
class UnsentExchange extends BackendExchange {
  readonly connectionEnd = ConnectionEnd.Open;
  private isClosed = false;

  constructor(listener: BackendListener, reason: string) {
    super();
    queueMicrotask(() => {
      if (!this.isClosed) {
        listener.handleFailure({
          reason,
          isClosedByServer: false,
          isUnsendable: true,
        });
      }
    });
  }

  override close(): void {
    this.isClosed = true;
  }

  override pause(): void {
    // Nothing is received.
  }

  override resume(): void {
    // Nothing is received.
  }
}

class HttpExchange extends BackendExchange {
  private readonly outgoing: ClientRequest;
  private incoming: IncomingMessage | undefined;
  private isFinished = false;
  private endWatch: ConnectionEndWatch | undefined;
  private readonly disposables = new DisposableStore();

  constructor(
    private readonly request: BackendRequest,
    private readonly listener: BackendListener,
    private readonly format: CallFormat,
    agent: Agent,
    private readonly counts: ConnectionCounts,
    private readonly viewGate: ViewGate,
  ) {
    super();
    const [host = '', port = ''] = request.address.split(':');
    this.outgoing = openRequest({
      host,
      port: Number(port),
      method: request.method,
      path: request.target,
      setHost: false,
      agent,
    });
    this.listen();
    try {
      this.addHeaders(request.headers);
    } catch (thrown) {
      this.close();
      throw thrown;
    }
  }

  override get connectionEnd(): ConnectionEnd {
    return this.endWatch?.end ?? ConnectionEnd.Open;
  }

  override close(): void {
    this.isFinished = true;
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
      this.fail(error.message, isCloseByServer(error));
    });
    outgoing.on('close', () => {
      this.disposables.dispose();
    });
    outgoing.on('upgrade', (_, socket) => {
      socket.destroy();
      this.fail('the server changed the protocol', false);
    });
  }

  private handleSocket(socket: Socket): void {
    this.endWatch = this.disposables.add(new ConnectionEndWatch(socket));
    socket.setNoDelay(true);
    if (!socket.connecting) {
      this.writeOnRecentView();
      return;
    }
    this.counts.opened += 1;
    socket.setKeepAlive(true, keepAliveProbeMs);
    socket.once('connect', () => {
      this.writeOnRecentView();
    });
  }

  private writeOnRecentView(): void {
    this.viewGate.run(() => {
      if (!this.isFinished) {
        this.write();
      }
    });
  }

  /** Writes the request to its connection, if it is still wanted: the connection may have taken a while. */
  private write(): void {
    const timed = this.request.listTimedHeaders();
    if (!timed) {
      this.close();
      this.listener.handleFailure({
        reason: 'the call was over before its connection was there',
        isClosedByServer: false,
        isUnsendable: true,
      });
      return;
    }
    this.addHeaders(timed);
    this.outgoing.end(this.request.body);
    this.listener.handleConnected();
  }

  private addHeaders(headers: RawHeaders): void {
    for (let at = 0; at + 1 < headers.length; at += 2) {
      this.outgoing.appendHeader(headers[at] ?? '', headers[at + 1] ?? '');
    }
  }

  private handleResponse(incoming: IncomingMessage): void {
    if (this.isFinished) {
      incoming.destroy();
      return;
    }
    this.incoming = incoming;
    const { statusCode: status = 0, statusMessage: reason = '' } = incoming;
    const fault = findResponseFault(status, reason, incoming.rawHeaders);
    if (fault !== undefined) {
      this.fail(`the head of the answer is malformed (${fault})`, false);
      return;
    }
    const fields = this.format.readResponse(status, incoming.rawHeaders);
    this.listenToBody(incoming, fields);
    this.listener.handleHead({ status, statusText: reason, fields });
  }

  private listenToBody(
    incoming: IncomingMessage,
    { isFramed }: ResponseFields,
  ): void {
    incoming.on('data', (chunk: Buffer) => {
      if (!this.isFinished) {
        this.listener.handleBody(chunk);
      }
    });
    incoming.on('end', () => {
      if (!incoming.complete) {
        this.fail('the answer ended early', true);
      } else if (!isFramed && this.connectionEnd === ConnectionEnd.Reset) {
        this.fail(
          'the connection of an answer without length or chunks was reset',
          true,
        );
      } else if (!this.isFinished) {
        this.isFinished = true;
        this.listener.handleEnd();
      }
    });
    incoming.on('error', error => {
      this.fail(error.message, isCloseByServer(error));
    });
    incoming.on('close', () => {
      this.fail('the connection was closed in the middle of the answer', true);
    });
  }

  private fail(reason: string, isClosedByServer: boolean): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    this.outgoing.destroy();
    this.listener.handleFailure({ reason, isClosedByServer });
  }
}

/** Code of the error of a connection that ends in the middle of an answer with a length or chunks. */
const earlyEndCode = 'HPE_INVALID_EOF_STATE';

const isCloseByServer = (error: NodeJS.ErrnoException): boolean =>
  isResetError(error) || error.code === earlyEndCode;
