/**
 * HTTP/1.1 server for callers; bodies are forwarded byte for byte.
 *
 * A call enters the event loop when its whole body was received, so that a slow
 * sender occupies no backend server and a retry can send the body again.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { Server as TcpServer, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import {
  ErrorKind,
  millisecondsPerSecond,
  type Address,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  Outcome,
  type KeptMemory,
  type CallLimits,
} from '@lycheetally/decisions';
import type { ChartTimers } from '@lycheetally/charts';
import { findHeaderFault, startListening } from '@lycheetally/node';
import { BodyReader, BodyRefusal } from './bodyReader.js';
import type { CallFields, CallFormat } from './callFormat.js';
import { CallerConnection } from './callerConnection.js';
import type { ErrorResponse, ReceivedCall } from './callerPort.js';
import { noRoomRetryAfterMs } from './constants.js';
import { HttpCaller } from './httpCaller.js';
import { InputRefusals } from './inputRefusals.js';

/** Receives the calls that the HTTP server accepts. */
export interface CallHandler {
  receiveCall(call: ReceivedCall, exchange: HttpCaller): void;
  receiveDisconnect(exchange: HttpCaller): void;
  /** Notes that a response has ended and its bytes were passed to the network, or that its connection closed. */
  noteResponseClosed(): void;
  noteRefused(status: number, reason: string): void;
  /** Notes a call that was refused before its whole body was received. */
  noteUnfinished(call: CallFields, error: ErrorResponse): void;
  /** Notes a call that is not passed on because its connection closes. */
  noteDropped(call: CallFields): void;
  getNow(): Milliseconds;
}

/** Limits that apply until there is a configuration. */
const initialLimits: CallLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Largest header block that Node's parser accepts, in bytes. */
const parserHeaderBytes = 65_536;

/** Interval at which Node checks for callers that exceed the header timeout, in milliseconds. */
const timeoutCheckMs = 500;

export class HttpFrontend {
  private limits = initialLimits;
  private isDraining = false;
  private readonly server: Server;
  private readonly connections = new Map<Socket, CallerConnection>();
  /** Requests whose body is being received. */
  private readonly incomplete = new Map<HttpCaller, BodyReader>();
  private handleEmpty: (() => void) | undefined;
  private readonly openCallers = new Set<HttpCaller>();
  private readonly inputRefusals: InputRefusals;

  constructor(
    private readonly format: CallFormat,
    private readonly handler: CallHandler,
    private readonly timers: ChartTimers,
    private readonly memory: KeptMemory,
  ) {
    this.inputRefusals = new InputRefusals(timers);
    this.server = createServer(
      {
        maxHeaderSize: parserHeaderBytes,
        connectionsCheckingInterval: timeoutCheckMs,
        noDelay: true,
        keepAlive: true,
        keepAliveInitialDelay: millisecondsPerSecond,
      },
      (incoming, response) => {
        this.receive(incoming, response);
      },
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.refuseMalformed(error, socket);
    });
    this.applyLimits(initialLimits);
  }

  /** Calls whose response has not ended. */
  get openCalls(): number {
    return this.openCallers.size;
  }

  listen(address: Address): Promise<Result<Address>> {
    return startListening(this.server, address);
  }

  applyLimits(limits: CallLimits): void {
    this.limits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.requestTimeout = 0;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** From now on each connection is closed after its last open response. */
  beginDrain(): void {
    this.isDraining = true;
  }

  /** Stops listening and closes idle connections. */
  closeIdle(): void {
    this.stopListening();
    this.closeIdleConnections();
  }

  /** Refuses the requests whose body is still being received. */
  refuseIncomplete(error: ErrorResponse): void {
    for (const [caller, reader] of [...this.incomplete]) {
      reader.drop();
      this.refuseUnfinished(caller, reader, error);
    }
  }

  private refuseUnfinished(
    caller: HttpCaller,
    { incoming }: BodyReader,
    error: ErrorResponse,
  ): void {
    this.incomplete.delete(caller);
    this.handler.noteUnfinished(
      this.format.readCall(incoming.rawHeaders),
      error,
    );
    caller.sendErrorAndClose(error);
  }

  /** Stops listening and closes each connection after its last answer; calls back once when none is left. */
  finish(callback: () => void): void {
    this.isDraining = true;
    this.handleEmpty = callback;
    this.closeIdle();
    this.checkEmpty();
  }

  /** Stops listening and closes all connections. */
  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** The `close` of an HTTP server also destroys connections whose last response was not passed to the network in full. */
  private stopListening(): void {
    if (this.server.listening) {
      TcpServer.prototype.close.call(this.server);
    }
  }

  private closeIdleConnections(): void {
    for (const connection of this.connections.values()) {
      connection.closeWhenIdle();
    }
  }

  private receive(incoming: IncomingMessage, response: ServerResponse): void {
    const connection = this.getConnection(incoming.socket);
    if (connection.isClosing) {
      // It is neither run nor answered: the caller sees the close instead.
      incoming.resume();
      this.handler.noteDropped(this.format.readCall(incoming.rawHeaders));
      return;
    }
    this.inputRefusals.withdraw(connection);
    const isOnKeptConnection = connection.hasServedCalls;
    const caller = new HttpCaller(response, connection, this.memory);
    connection.add(caller);
    this.openCallers.add(caller);
    response.once('close', () => {
      this.handleClosed(caller, connection);
    });
    if (countHeaderBytes(incoming) > this.limits.maxHeaderBytes) {
      this.refuse(caller, 431, 'the headers are larger than the limit');
      return;
    }
    if (!matchesOriginForm(incoming)) {
      this.refuse(caller, 400, 'the request line or its host is malformed');
      return;
    }
    // Node's client would not send it, as if the server could not be reached.
    const fault = findHeaderFault(incoming.rawHeaders);
    if (fault !== undefined) {
      this.refuse(caller, 400, `a header is malformed (${fault})`);
      return;
    }
    this.readBody(incoming, caller, connection, isOnKeptConnection);
  }

  private getConnection(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known) {
      return known;
    }
    const connection = new CallerConnection(
      socket,
      this.timers,
      () => this.isDraining,
      (call, caller) => {
        this.handler.receiveCall(call, caller);
      },
    );
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      this.inputRefusals.withdraw(connection);
      // Node does not close the responses that wait for an earlier one to end.
      for (const caller of connection.listOpen()) {
        this.handleClosed(caller, connection);
      }
      this.checkEmpty();
    });
    return connection;
  }

  /** Handles the end of a response, or of its connection before. */
  private handleClosed(caller: HttpCaller, connection: CallerConnection): void {
    if (!this.openCallers.delete(caller)) {
      return;
    }
    this.incomplete.delete(caller);
    this.memory.release(caller);
    const waiting = connection.findWaiting(caller);
    connection.finish(caller);
    this.inputRefusals.sendNext(connection);
    this.handler.noteResponseClosed();
    if (waiting) {
      this.handler.noteDropped(waiting.fields);
    } else if (!caller.hasFinished) {
      this.handler.receiveDisconnect(caller);
    }
  }

  private readBody(
    incoming: IncomingMessage,
    caller: HttpCaller,
    connection: CallerConnection,
    isOnKeptConnection: boolean,
  ): void {
    let maxBytes = 0;
    const reader = new BodyReader(incoming, {
      getMaxBytes: () => {
        maxBytes = Math.max(maxBytes, this.limits.maxBodyBytes);
        return maxBytes;
      },
      hasRoom: bytes => this.memory.hasRoom(caller, bytes),
      noteMemory: bytes => {
        this.memory.keep(caller, bytes);
      },
      handleBody: body => {
        this.incomplete.delete(caller);
        const call = this.createCall(incoming, body, isOnKeptConnection);
        connection.enqueue(call, caller);
      },
      handleRefusal: refusal => {
        if (refusal === BodyRefusal.TooLarge) {
          this.incomplete.delete(caller);
          this.refuse(caller, 413, 'the body is larger than the limit');
        } else {
          this.refuseUnfinished(caller, reader, noRoomError);
        }
      },
    });
    this.incomplete.set(caller, reader);
    reader.start();
  }

  private createCall(
    incoming: IncomingMessage,
    body: Buffer,
    isOnKeptConnection: boolean,
  ): ReceivedCall {
    const target = incoming.url ?? '/';
    return {
      method: incoming.method ?? 'GET',
      target,
      path: target.split('?', 1)[0] ?? '/',
      fields: this.format.readCall(incoming.rawHeaders),
      body,
      receivedAt: this.handler.getNow(),
      isOnKeptConnection,
    };
  }

  private checkEmpty(): void {
    if (this.connections.size === 0) {
      this.handleEmpty?.();
      this.handleEmpty = undefined;
    }
  }

  private refuse(caller: HttpCaller, status: number, message: string): void {
    this.handler.noteRefused(status, message);
    caller.sendErrorAndClose({
      status,
      kind: status === 400 ? ErrorKind.BadRequest : ErrorKind.TooLarge,
      message,
      outcome: Outcome.NotRun,
    });
  }

  private refuseMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
    const { code = '' } = error;
    if (
      !(socket instanceof Socket) ||
      socket.destroyed ||
      code === 'ECONNRESET'
    ) {
      socket.destroy();
      return;
    }
    const connection = this.getConnection(socket);
    if (connection.isClosing || this.inputRefusals.has(connection)) {
      // It was refused already. What still arrives is read and dropped: a reset would destroy the refusal.
      return;
    }
    const text = parserErrorStatus[code] ?? '400 Bad Request';
    const status = Number(text.slice(0, 3));
    const caller = connection.listOpen().at(-1);
    const reader = caller && this.incomplete.get(caller);
    if (caller && reader?.incoming.complete === false) {
      reader.drop();
      this.incomplete.delete(caller);
      this.refuse(caller, status, `the body is malformed (${code})`);
      return;
    }
    this.handler.noteRefused(status, code);
    this.inputRefusals.add(connection, socket, text);
  }
}

const noRoomError: ErrorResponse = {
  status: 503,
  kind: ErrorKind.NoCapacity,
  message: 'the buffers of this gateway are full; another one may have room',
  outcome: Outcome.NotRun,
  retryAfterMs: noRoomRetryAfterMs,
};

const parserErrorStatus: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Bytes of the name-value separator and the line end. */
const headerLineOverhead = 4;

const countHeaderBytes = (incoming: IncomingMessage): number => {
  let bytes = (incoming.url ?? '').length;
  for (const [index, text] of incoming.rawHeaders.entries()) {
    bytes += text.length + (index % 2 === 0 ? headerLineOverhead : 0);
  }
  return bytes;
};

/** Whether the request target is a path (origin form) and there is exactly one Host header. */
const matchesOriginForm = (incoming: IncomingMessage): boolean => {
  const hosts = incoming.rawHeaders.filter(
    (name, index) => index % 2 === 0 && name.toLowerCase() === 'host',
  );
  return hosts.length === 1 && (incoming.url ?? '').startsWith('/');
};
