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
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import {
  ErrorKind,
  millisecondsPerSecond,
  type Address,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import { Outcome, type CallLimits } from '@lycheetally/decisions';
import { startListening } from '@lycheetally/node';
import type { CallFormat, RawHeaders } from './callFormat.js';
import {
  CallerExchange,
  type ErrorResponse,
  type ReceivedCall,
  type BufferedResponse,
} from './callerPort.js';

/** Receives the calls that the HTTP server accepts. */
export interface CallHandler {
  receiveCall(call: ReceivedCall, exchange: HttpCaller): void;
  receiveDisconnect(exchange: HttpCaller): void;
  noteRefused(status: number, reason: string): void;
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
  private readonly usedConnections = new WeakSet<Socket>();
  private readonly openCallers = new Set<HttpCaller>();

  constructor(
    private readonly format: CallFormat,
    private readonly handler: CallHandler,
  ) {
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

  /** Closes idle connections, and the others after their next response. */
  drain(): void {
    this.isDraining = true;
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Stops listening and closes all connections. */
  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(incoming: IncomingMessage, response: ServerResponse): void {
    const caller = new HttpCaller(response, () => this.isDraining);
    this.openCallers.add(caller);
    response.once('close', () => {
      this.openCallers.delete(caller);
      if (!response.writableFinished) {
        this.handler.receiveDisconnect(caller);
      }
    });
    if (countHeaderBytes(incoming) > this.limits.maxHeaderBytes) {
      this.refuse(caller, 431, 'the headers are larger than the limit');
      return;
    }
    if (!matchesOriginForm(incoming)) {
      this.refuse(caller, 400, 'the request line or its host is malformed');
      return;
    }
    this.readBody(incoming, caller);
  }

  private readBody(incoming: IncomingMessage, caller: HttpCaller): void {
    const isOnKeptConnection = this.usedConnections.has(incoming.socket);
    this.usedConnections.add(incoming.socket);
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > this.limits.maxBodyBytes) {
        incoming.removeAllListeners('data');
        incoming.resume();
        this.refuse(caller, 413, 'the body is larger than the limit');
        return;
      }
      chunks.push(chunk);
    });
    incoming.on('end', () => {
      if (size > this.limits.maxBodyBytes) {
        return;
      }
      const target = incoming.url ?? '/';
      this.handler.receiveCall(
        {
          method: incoming.method ?? 'GET',
          target,
          path: target.split('?', 1)[0] ?? '/',
          fields: this.format.readCall(incoming.rawHeaders),
          body: Buffer.concat(chunks),
          receivedAt: this.handler.getNow(),
          isOnKeptConnection,
        },
        caller,
      );
    });
    // The response's 'close' event reports a caller that disconnected.
    incoming.on('error', () => undefined);
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
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const status = parserErrorStatus[error.code ?? ''] ?? '400 Bad Request';
    this.handler.noteRefused(Number(status.slice(0, 3)), error.code ?? '');
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

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

export class HttpCaller extends CallerExchange {
  constructor(
    private readonly response: ServerResponse,
    private readonly isDraining: () => boolean,
  ) {
    super();
    response.sendDate = false;
  }

  override startResponse(
    status: number,
    text: string,
    headers: RawHeaders,
  ): void {
    this.response.writeHead(status, text, this.addCloseHeader([...headers]));
    this.response.flushHeaders();
  }

  override write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  override end(): void {
    this.response.end(() => {
      this.closeWhenDraining();
    });
  }

  override sendResponse(buffered: BufferedResponse): void {
    const { response } = this;
    const { status, text, headers, body, isFramed } = buffered;
    if (isFramed) {
      const length = ['Content-Length', String(body.length)];
      const all = this.addCloseHeader([...headers, ...length]);
      response.writeHead(status, text, all);
    } else {
      // The end of the connection alone delimited the body, which may be truncated;
      // a length would mark it as complete.
      response.useChunkedEncodingByDefault = false;
      response.writeHead(status, text, [...headers, 'Connection', 'close']);
    }
    response.end(body);
  }

  override sendError(error: ErrorResponse): void {
    if (this.response.headersSent) {
      this.closeConnection();
      return;
    }
    this.writeError(error, this.addCloseHeader([]));
  }

  /** Answers a request that cannot be read to its end, and closes its connection. */
  sendErrorAndClose(error: ErrorResponse): void {
    this.writeError(error, ['Connection', 'close']);
  }

  override closeConnection(): void {
    this.response.destroy();
  }

  override setDrainListener(listener: () => void): void {
    this.response.on('drain', listener);
  }

  private writeError(error: ErrorResponse, headers: string[]): void {
    const { kind, message, outcome, retryAfterMs } = error;
    const body = Buffer.from(JSON.stringify({ error: { kind, message } }));
    headers.push(
      'Content-Type',
      'application/json',
      'Content-Length',
      String(body.length),
      'X-Lycheetally-Outcome',
      outcome,
    );
    if (retryAfterMs !== undefined) {
      const seconds = (retryAfterMs / millisecondsPerSecond).toFixed(2);
      headers.push('Retry-After', seconds);
    }
    this.response.writeHead(error.status, headers);
    this.response.end(body);
  }

  /** Closes the connection of a response whose headers were sent before the shutdown, without `Connection: close`. */
  private closeWhenDraining(): void {
    if (this.isDraining()) {
      this.response.socket?.end();
    }
  }

  private addCloseHeader(headers: string[]): string[] {
    return this.isDraining() ? [...headers, 'Connection', 'close'] : headers;
  }
}
