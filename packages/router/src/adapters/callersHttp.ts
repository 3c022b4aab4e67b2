/** HTTP server for callers: the OpenAI API, with server-sent events, and plain services. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { Server as NetServer } from 'node:net';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  toTypedError,
  type Address,
  type Result,
} from '@lycheetally/common';
import { Outcome } from '@lycheetally/decisions';
import type { CallerCall, CallerExchange } from '../ports/callerExchange.js';
import { CallerConnections } from './callerConnections.js';
import { parseRefusedCall, parseCall } from './parseCall.js';
import { HttpExchange, sendRefusal } from './httpExchange.js';
import { readBody } from '@lycheetally/node';
import { startListening } from '@lycheetally/node';
import { sendJson } from './operatorsHttp.js';

/** The known fields of a call that the HTTP server refused. */
export type RefusedCall = Pick<
  CallerCall,
  'bearerKey' | 'callerRequestId' | 'service'
>;

/** Receives calls from the HTTP server. Called from outside the event loop. */
export abstract class CallersSink {
  abstract receiveCall(call: CallerCall, exchange: CallerExchange): void;
  /** Records a call that the HTTP server refused. */
  abstract receiveRefusedCall(call: RefusedCall, error: TypedError): void;
  abstract handleCallerDisconnected(exchange: CallerExchange): void;
  /** Called when a response has ended, whole or not. */
  abstract handleResponseEnded(): void;
  /** Lists the services that a bearer key may use. */
  abstract listServices(bearerKey: string): readonly string[];
  /** Says whether new requests are accepted. */
  abstract isAcceptingCalls(): boolean;
}

export class CallersServer {
  private server: Server | undefined;
  private readonly connections = new CallerConnections();

  constructor(
    private readonly sink: CallersSink,
    private readonly maxBodyBytes: number,
  ) {}

  /** Responses that have not been sent to their end, to requests that were read whole. */
  get openResponses(): number {
    return this.connections.openResponses;
  }

  /** Starts listening. Fails with `BadAddress`. */
  async listen(address: Address): Promise<Result<Address>> {
    const server = createServer((request, response) => {
      this.connections.addResponse(request, response, () => {
        this.sink.handleResponseEnded();
      });
      void this.serve(request, response);
    });
    server.on('connection', socket => {
      this.connections.addConnection(socket);
    });
    const bound = await startListening(server, address);
    if (bound.err) {
      return Err(bound.val);
    }
    this.server = server;
    return Ok(bound.val);
  }

  /** Stops accepting connections; requests in progress continue, and their connections close after them. */
  close(): void {
    if (this.server) {
      // The HTTP server's own close() cuts responses that are complete but not yet sent.
      NetServer.prototype.close.call(this.server);
      this.connections.drain();
    }
  }

  dispose(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === 'GET' && request.url === '/v1/models') {
      this.serveModels(request, response);
      return;
    }
    try {
      await this.serveCall(request, response);
    } catch (thrown) {
      const remedy = 'send a well-formed HTTP request';
      const error = toTypedError(thrown, ErrorKind.BadRequest, remedy);
      this.refuse(request, response, error);
    }
  }

  private refuse(
    request: IncomingMessage,
    response: ServerResponse,
    error: TypedError,
    retryAfterMs?: number,
  ): void {
    const outcome = Outcome.NotRun;
    sendRefusal(response, { requestId: '', outcome, error, retryAfterMs });
    this.sink.receiveRefusedCall(parseRefusedCall(request.headers), error);
  }

  private async serveCall(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (!this.sink.isAcceptingCalls()) {
      this.refuse(request, response, createLeavingError(), leavingRetryMs);
      return;
    }
    const body = await readBody(request, this.maxBodyBytes);
    const parsed = parseCall({
      method: request.method ?? 'GET',
      url: new URL(request.url ?? '/', 'http://callers'),
      headers: request.headers,
      body,
    });
    if (parsed.err) {
      this.refuse(request, response, parsed.val);
      return;
    }
    const { call, format, isStream } = parsed.val;
    const exchange = new HttpExchange(response, call, format, isStream);
    response.on('close', () => {
      if (!exchange.isFinished) {
        this.sink.handleCallerDisconnected(exchange);
      }
    });
    this.sink.receiveCall(call, exchange);
  }

  private serveModels(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const key = /^Bearer (.+)$/i.exec(request.headers.authorization ?? '')?.[1];
    const data = this.sink
      .listServices(key ?? '')
      .map(id => ({ id, object: 'model', owned_by: 'lycheetally' }));
    sendJson(response, 200, { object: 'list', data });
  }
}

/** Milliseconds after which a caller that a stopping entry refused may retry. */
export const leavingRetryMs = 1_000;

export const createLeavingError = (): TypedError =>
  new TypedError(
    ErrorKind.ShuttingDown,
    'this entry is stopping',
    'send the request again; another entry will accept it',
  );
