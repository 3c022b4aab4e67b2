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
  getOrThrow,
  type Address,
  type LogFields,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  CostliestFirstAccount,
  Outcome,
  type CallerLimits,
  type CallLimits,
  type KeptMemory,
} from '@lycheetally/decisions';
import type { ChartTimers } from '@lycheetally/charts';
import {
  findHeaderFault,
  startListening,
  type GarbageCollector,
} from '@lycheetally/node';
import { BodyReader, BodyRefusal } from './bodyReader.js';
import type { CallFields, CallFormat } from '../callFormat.js';
import {
  CallerConnection,
  CloseReason,
  type ConnectionServices,
} from './callerConnection.js';
import { bindConnectionChart } from './callerConnectionChart.js';
import type { ErrorResponse, ReceivedCall } from './callerPort.js';
import { headCheckMs } from '../constants.js';
import { maxHeadBytes, maxAheadShare } from './constants.js';
import { HttpCaller } from './httpCaller.js';
import { ReadGarbage } from './readGarbage.js';
import { ReadingTurns } from './readingTurns.js';
import {
  formatRefusal,
  noPlaceError,
  noRoomError,
  parserErrorStatus,
  stalledError,
} from './refusals.js';
import {
  countHeaderBytes,
  countHeaderMemory,
  matchesExpectation,
  matchesOriginForm,
} from './requestHead.js';

/** Receives the calls that the HTTP server accepts. */
export interface CallHandler {
  receiveCall(call: ReceivedCall, exchange: HttpCaller): void;
  receiveDisconnect(exchange: HttpCaller): void;
  /** Notes that a response has ended and its bytes were passed to the network, or that its connection closed. */
  noteResponseClosed(): void;
  noteRefused(status: number, reason: string): void;
  /** Notes a call that was refused before it was passed on. */
  noteUnfinished(call: CallFields, error: ErrorResponse): void;
  /** Notes a call that is not passed on because its connection closes. */
  noteDropped(call: CallFields): void;
  /** Notes that the gateway closes a connection. */
  noteConnectionClosed(reason: CloseReason): void;
  /** Notes what a connection held that gives way. */
  noteExcess(fields: LogFields, now: Milliseconds): void;
  /** Runs it in a later turn, after what can be read now. */
  postCompletion(run: (now: Milliseconds) => void): void;
  getNow(): Milliseconds;
  /** Returns the earliest time at which what is read now can have arrived. */
  estimateArrival(now: Milliseconds): Milliseconds;
  /** Notes that a connection was accepted, and returns the earliest time at which it can have come. */
  noteAccepted(now: Milliseconds): Milliseconds;
  /** Runs it after what can be read now, outside the loop's turns. */
  deferReading(run: () => void): void;
}

/** A request whose body is being received. */
interface ReceivingRequest {
  readonly caller: HttpCaller;
  readonly reader: BodyReader;
}

/** Limits on what all callers make the gateway keep. */
export interface FrontendLimits extends CallerLimits {
  readonly maxRequestsAhead: number;
  /** Bytes that are read before their garbage is collected. */
  readonly maxReadGarbageBytes: number;
  /** Time after which a request or an answer without progress ends. */
  readonly stalledMs: Milliseconds;
}

/** Limits that apply until there is a configuration. */
const initialLimits: CallLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

export class HttpFrontend {
  private limits = initialLimits;
  private readonly connectionMachine = getOrThrow(bindConnectionChart());
  private readonly connectionServices: ConnectionServices;
  private isDraining = false;
  private readonly server: Server;
  private readonly connections = new Map<Socket, CallerConnection>();
  /** Requests whose body is being received. */
  private readonly incomplete = new Map<HttpCaller, BodyReader>();
  private handleEmpty: (() => void) | undefined;
  private readonly openCallers = new Set<HttpCaller>();
  private readonly account: CostliestFirstAccount<CallerConnection>;

  constructor(
    private readonly format: CallFormat,
    private readonly handler: CallHandler,
    private readonly timers: ChartTimers,
    private readonly memory: KeptMemory,
    private readonly callerLimits: FrontendLimits,
    private readonly collector: GarbageCollector,
  ) {
    this.account = new CostliestFirstAccount(callerLimits);
    this.server = createServer(
      {
        maxHeaderSize: maxHeadBytes,
        connectionsCheckingInterval: headCheckMs,
        // Node would answer itself, and keep what its caller sends ahead uncounted.
        requireHostHeader: false,
        noDelay: true,
        keepAlive: true,
        keepAliveInitialDelay: millisecondsPerSecond,
      },
      (incoming, response) => {
        this.receive(incoming, response);
      },
    );
    this.connectionServices = this.createConnectionServices();
    this.server.on('connection', socket => {
      this.addConnection(socket);
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.receiveFault(error, socket);
    });
    this.server.timeout = callerLimits.stalledMs;
    this.server.on('timeout', (socket: Socket) => {
      this.handleStall(socket);
    });
    // Node would answer itself, and keep what its caller sends ahead uncounted.
    this.server.on(
      'checkExpectation',
      (incoming: IncomingMessage, response: ServerResponse) => {
        this.receive(incoming, response);
      },
    );
    // Node would destroy the connection.
    this.server.on('connect', (_, socket) => {
      this.refuseMalformed(socket, 'a tunnel is asked for');
      this.findConnection(socket)?.noteParserEnded();
      socket.resume();
    });
    this.applyLimits(initialLimits);
  }

  /** Calls whose response has not ended. */
  get openCalls(): number {
    return this.openCallers.size;
  }

  /** Memory that the connections of callers hold, in bytes. */
  get callerBytes(): number {
    return this.account.totalBytes;
  }

  get callerConnections(): number {
    return this.account.connections;
  }

  listen(address: Address): Promise<Result<Address>> {
    return startListening(this.server, address);
  }

  applyLimits(limits: CallLimits): void {
    this.limits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.requestTimeout = 0;
    // The connections' chart closes them, after what waits in them was read.
    this.server.keepAliveTimeout = 0;
  }

  /** From now on each connection is closed after its last open response. */
  beginDrain(): void {
    this.isDraining = true;
  }

  /** Stops listening and closes idle connections; one that was not used yet may bring a call. */
  closeIdle(): void {
    this.stopListening();
    this.closeIdleConnections(connection => connection.hasServedCalls);
  }

  private closeIdleConnections(
    matches: (connection: CallerConnection) => boolean,
  ): void {
    for (const connection of this.connections.values()) {
      if (matches(connection)) {
        connection.closeWhenIdle();
      }
    }
  }

  /** Refuses the requests whose body is still being received. */
  refuseIncomplete(error: ErrorResponse): void {
    for (const [caller, reader] of [...this.incomplete]) {
      this.refuseReceiving({ caller, reader }, error);
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
    for (const caller of this.openCallers) {
      caller.resetUnframed();
    }
    this.server.close();
    this.server.closeAllConnections();
  }

  /** The `close` of an HTTP server also destroys connections whose last response was not passed to the network in full. */
  private stopListening(): void {
    if (this.server.listening) {
      TcpServer.prototype.close.call(this.server);
    }
  }

  private receive(incoming: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.get(incoming.socket);
    if (!connection || connection.isClosing) {
      // It is neither run nor answered: the caller sees the close instead.
      incoming.resume();
      connection?.noteDropped();
      this.handler.noteDropped(this.format.readCall(incoming.rawHeaders));
      return;
    }
    const isOnKeptConnection = connection.hasServedCalls;
    const caller = new HttpCaller(response, connection, this.memory);
    connection.add(caller);
    this.openCallers.add(caller);
    response.once('close', () => {
      this.handleClosed(caller, connection);
    });
    const headerBytes = countHeaderBytes(incoming);
    const headerMemory = countHeaderMemory(incoming);
    this.connectionServices.garbage.note(headerMemory);
    caller.keptBytes = headerBytes + headerMemory;
    if (headerBytes > this.limits.maxHeaderBytes) {
      this.refuse(caller, 431, 'the headers are larger than the limit');
      return;
    }
    if (!matchesOriginForm(incoming)) {
      this.refuse(caller, 400, 'the request line or its host is malformed');
      return;
    }
    if (!matchesExpectation(incoming)) {
      this.refuse(caller, 417, 'the expectation is unknown');
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

  private addConnection(socket: Socket): void {
    const connection = new CallerConnection(
      socket,
      this.connectionMachine,
      this.connectionServices,
    );
    this.connections.set(socket, connection);
    this.updateUsage(connection);
    // Node removes its own listener from a socket that it hands over; 'close' follows each error.
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.connections.delete(socket);
      this.account.release(connection);
      connection.noteLost();
      // Node does not close the responses that wait for an earlier one to end.
      for (const caller of connection.listOpen()) {
        this.handleClosed(caller, connection);
      }
      this.checkEmpty();
    });
  }

  /** Accounts for what the connection holds, and closes those that give way. */
  private updateUsage(connection: CallerConnection): void {
    const { socket } = connection;
    // One that was closed is counted no more, although its 'close' event comes later.
    if (socket.destroyed || !this.connections.has(socket)) {
      return;
    }
    this.account.update(
      connection,
      connection.address,
      connection.describeUsage(),
    );
    const now = this.handler.getNow();
    for (const excess of this.account.listExcess(now)) {
      this.closeExcess(excess, now);
    }
  }

  /** Refuses the call whose body still arrives, which frees its memory; a connection without one is reset. */
  private closeExcess(connection: CallerConnection, now: Milliseconds): void {
    const { bytes, progressAt, answers } = connection.describeUsage();
    this.handler.noteConnectionClosed(CloseReason.Excess);
    this.handler.noteExcess(
      {
        bytes,
        withoutProgressMs: Math.round(now - progressAt),
        answers,
        openRequests: connection.listOpen().length,
        totalBytes: this.account.totalBytes,
        connections: this.account.connections,
      },
      now,
    );
    const receiving = this.findReceiving(connection);
    if (receiving && !connection.isClosing) {
      this.refuseReceiving(receiving, noRoomError);
      this.account.update(
        connection,
        connection.address,
        connection.describeUsage(),
      );
    } else {
      this.account.release(connection);
      connection.reset();
    }
  }

  /** Ends a request whose body does not go on, or an answer that is not taken. */
  private handleStall(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection) {
      return;
    }
    const receiving = this.findReceiving(connection);
    if (connection.hasUnreadAnswer) {
      this.handler.noteConnectionClosed(CloseReason.Unread);
      connection.reset();
    } else if (receiving) {
      this.refuseReceiving(receiving, stalledError);
    } else {
      socket.setTimeout(this.callerLimits.stalledMs);
    }
  }

  private createConnectionServices(): ConnectionServices {
    const { account, callerLimits, handler, timers } = this;
    return {
      timers,
      turns: new ReadingTurns(
        () => handler.getNow(),
        run => {
          handler.deferReading(run);
        },
      ),
      garbage: new ReadGarbage(
        this.collector,
        callerLimits.maxReadGarbageBytes,
      ),
      maxRequestsAhead: callerLimits.maxRequestsAhead,
      mayReadAhead: keptBytes =>
        keptBytes < callerLimits.maxBytes * maxAheadShare &&
        account.totalBytes < callerLimits.maxBytes,
      isReceiving: caller =>
        this.incomplete.get(caller)?.incoming.complete === false,
      noteUsage: connection => {
        this.updateUsage(connection);
      },
      getLimits: () => this.limits,
      isDraining: () => this.isDraining,
      getNow: () => handler.getNow(),
      estimateArrival: now => handler.estimateArrival(now),
      noteAccepted: now => handler.noteAccepted(now),
      postCompletion: run => {
        handler.postCompletion(run);
      },
      forwardCall: (call, caller, connection) => {
        this.forwardCall(call, caller, connection);
      },
      noteClosed: reason => {
        handler.noteConnectionClosed(reason);
      },
      refuseSlowHead: () => {
        handler.noteRefused(408, 'the head came too slowly');
        return formatRefusal('408 Request Timeout');
      },
    };
  }

  /** Passes a call on, or refuses it where too many run. */
  private forwardCall(
    call: ReceivedCall,
    caller: HttpCaller,
    connection: CallerConnection,
  ): void {
    const { account, handler } = this;
    // The call before it may have left its place just now.
    account.release(connection);
    const now = handler.getNow();
    const givingWay = account.mayRunFurther
      ? undefined
      : account.chooseRunning(now);
    if (givingWay) {
      this.closeExcess(givingWay, now);
    }
    if (account.mayRunFurther) {
      handler.receiveCall(call, caller);
    } else {
      handler.noteUnfinished(call.fields, noPlaceError);
      caller.sendError(noPlaceError);
    }
    this.updateUsage(connection);
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
    this.updateUsage(connection);
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
    const headBytes = caller.keptBytes;
    const reader = new BodyReader(incoming, {
      getMaxBytes: () => {
        maxBytes = Math.max(maxBytes, this.limits.maxBodyBytes);
        return maxBytes;
      },
      hasRoom: bytes => this.memory.hasRoom(caller, bytes),
      noteMemory: bytes => {
        connection.noteBody();
        caller.keptBytes = headBytes + bytes;
        this.memory.keep(caller, bytes);
      },
      handleBody: body => {
        this.incomplete.delete(caller);
        const arrivedAt = isOnKeptConnection
          ? connection.estimateArrival()
          : connection.estimateFirstArrival();
        const call = this.createCall(incoming, {
          body,
          arrivedAt,
          readWaits: connection.describeReadWaits(isOnKeptConnection),
          isOnKeptConnection,
        });
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
    read: Pick<
      ReceivedCall,
      'body' | 'arrivedAt' | 'readWaits' | 'isOnKeptConnection'
    >,
  ): ReceivedCall {
    const target = incoming.url ?? '/';
    return {
      method: incoming.method ?? 'GET',
      target,
      path: target.split('?', 1)[0] ?? '/',
      fields: this.format.readCall(incoming.rawHeaders),
      receivedAt: this.handler.getNow(),
      ...read,
    };
  }

  /** Ends once no connection is left; those that brought no call are closed last. */
  private checkEmpty(): void {
    if (!this.handleEmpty) {
      return;
    }
    const connections = [...this.connections.values()];
    if (connections.length === 0) {
      this.handleEmpty();
      this.handleEmpty = undefined;
    } else if (connections.every(({ hasServedCalls }) => !hasServedCalls)) {
      this.closeIdleConnections(() => true);
    }
  }

  private refuse(caller: HttpCaller, status: number, message: string): void {
    this.handler.noteRefused(status, message);
    caller.sendErrorAndClose({
      status,
      kind:
        status === 400 || status === 417
          ? ErrorKind.BadRequest
          : ErrorKind.TooLarge,
      message,
      outcome: Outcome.NotRun,
    });
  }

  private receiveFault(error: NodeJS.ErrnoException, socket: Duplex): void {
    const { code = '' } = error;
    if (code === 'ECONNRESET') {
      socket.destroy();
    } else if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
      this.findConnection(socket)?.noteHeadOverdue();
    } else {
      this.refuseMalformed(socket, code, parserErrorStatus[code]);
    }
  }

  private refuseMalformed(
    socket: Duplex,
    reason: string,
    status = '400 Bad Request',
  ): void {
    const connection = this.findConnection(socket);
    if (
      connection &&
      !connection.isClosing &&
      !this.refuseBody(connection, Number(status.slice(0, 3)), reason)
    ) {
      this.handler.noteRefused(Number(status.slice(0, 3)), reason);
      connection.refuseMalformed(formatRefusal(status));
    }
  }

  /** Refuses the call whose body is malformed; returns whether there is one. */
  private refuseBody(
    connection: CallerConnection,
    status: number,
    reason: string,
  ): boolean {
    const receiving = this.findReceiving(connection);
    if (receiving?.reader.incoming.complete !== false) {
      return false;
    }
    const { caller, reader } = receiving;
    reader.drop();
    this.incomplete.delete(caller);
    this.refuse(caller, status, `the body is malformed (${reason})`);
    return true;
  }

  /** Finds the request of the connection whose body is being received; it can only be the last one. */
  private findReceiving(
    connection: CallerConnection,
  ): ReceivingRequest | undefined {
    const caller = connection.listOpen().at(-1);
    const reader = caller && this.incomplete.get(caller);
    return caller && reader && { caller, reader };
  }

  /** Refuses a request whose body is being received; what still arrives of it is not kept. */
  private refuseReceiving(
    { caller, reader }: ReceivingRequest,
    error: ErrorResponse,
  ): void {
    reader.drop();
    this.refuseUnfinished(caller, reader, error);
  }

  private findConnection(socket: Duplex): CallerConnection | undefined {
    return socket instanceof Socket ? this.connections.get(socket) : undefined;
  }
}
