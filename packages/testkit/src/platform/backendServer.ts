/**
 * Stand-in for one of the platform's backend servers. Tests write its responses
 * to the socket themselves, so they can also send malformed ones.
 */
import { createServer, type Server, type Socket } from 'node:net';
import { formatAddress } from '@lycheetally/common';
import { startListening } from '@lycheetally/node';
import { waitUntil } from '../fleet/routerFleet.js';

/** A request as the server received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly target: string;
  /** Header values by lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** The connection; handlers write the response to it or close it. */
  readonly socket: Socket;
  /** What the response is signed with, if a handler sets it. */
  readonly signature?: string;
}

/** Responds to one request. */
export type RequestHandler = (request: ReceivedRequest) => void;

const host = '127.0.0.1';

const headerEnd = '\r\n\r\n';

export class BackendServerStandIn {
  readonly receivedRequests: ReceivedRequest[] = [];
  /** Whether it reports its load; servers of services without layers need not know such requests. */
  hasReports = true;
  /** Requests whose chain has stalled, as its report lists them. */
  stalledRequests: readonly { id: string; address: string }[] = [];
  /** Orders received, in order. */
  readonly receivedOrders: unknown[] = [];
  /** Status and body of the answer to an order; called after the order was recorded. */
  answerOrder: (order: unknown) => readonly [number, unknown] = () => [202, {}];
  /** Address that it listens on. */
  address = '';
  /** Number of connections accepted. */
  acceptedConnections = 0;
  /** Number of connections that have closed. */
  closedConnections = 0;
  /** Whether it resets new connections, as at its limit of them. */
  resetsConnections = false;
  private isPaused = false;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server = createServer(socket => {
    this.acceptedConnections += 1;
    if (this.resetsConnections) {
      resetConnection(socket);
      return;
    }
    this.sockets.add(socket);
    if (this.isPaused) {
      pauseSocket(socket);
    }
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.closedConnections += 1;
    });
    this.readRequests(socket);
  });

  constructor(
    readonly serverId: string,
    /** Responds to every request except load reports and placement orders. */
    public handleRequest: RequestHandler,
  ) {}

  async listen(port = 0): Promise<string> {
    const bound = await startListening(this.server, { host, port });
    this.address = formatAddress(bound.unwrap());
    return this.address;
  }

  /** Ends as a killed process does: all connections are reset and new ones refused. */
  crash(): void {
    this.server.close();
    this.sockets.forEach(resetConnection);
  }

  /** Listens again at the address that it had before it crashed. */
  async listenAgain(): Promise<void> {
    const port = Number(this.address.split(':')[1]);
    await waitUntil(`${this.address} is free again`, async () => {
      const bound = await startListening(this.server, { host, port });
      return bound.ok;
    });
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  /** Refuses new connections; the open ones go on. */
  refuseConnections(): void {
    this.server.close();
  }

  /** Falls silent, as a stopped process does: accepts connections, reads nothing and sends nothing. */
  pause(): void {
    this.isPaused = true;
    this.sockets.forEach(pauseSocket);
  }

  /** Goes on where it was paused. */
  resume(): void {
    this.isPaused = false;
    this.sockets.forEach(resumeSocket);
  }

  private readRequests(socket: Socket): void {
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      for (
        let request = parseRequest(text, socket);
        request;
        request = parseRequest(text, socket)
      ) {
        text = text.slice(request.length);
        this.serve(request.received);
      }
    });
  }

  private serve(request: ReceivedRequest): void {
    if (request.target === '/report' && !this.hasReports) {
      sendResponse(request, '', '404 Not Found');
    } else if (request.target === '/report') {
      sendJson(request, { seq: 0, stalled: this.stalledRequests });
    } else if (request.target === '/order') {
      const order: unknown = JSON.parse(request.body);
      this.receivedOrders.push(order);
      const [status, body] = this.answerOrder(order);
      sendJson(request, body, status);
    } else {
      this.receivedRequests.push(request);
      this.handleRequest(request);
    }
  }
}

/** Closes the connection with a reset alone; `resetAndDestroy` of Node's sockets sends a regular end before it. */
export const resetConnection = (socket: Socket): void => {
  const { _handle: handle } = socket as unknown as {
    _handle: { reset: (callback: () => void) => void } | null;
  };
  handle?.reset(() => {
    socket.destroy();
  });
};

const pauseSocket = (socket: Socket): void => {
  socket.pause();
  socket.cork();
};

const resumeSocket = (socket: Socket): void => {
  socket.uncork();
  socket.resume();
};

const parseRequest = (
  text: string,
  socket: Socket,
): { received: ReceivedRequest; length: number } | undefined => {
  const end = text.indexOf(headerEnd);
  if (end < 0) {
    return undefined;
  }
  const [line = '', ...lines] = text.slice(0, end).split('\r\n');
  const [method = '', target = ''] = line.split(' ');
  const headers = new Map(
    lines.map((each): [string, string] => {
      const at = each.indexOf(':');
      return [each.slice(0, at).toLowerCase(), each.slice(at + 1).trim()];
    }),
  );
  const bodyBytes = Number(headers.get('content-length') ?? 0);
  const length = end + headerEnd.length + bodyBytes;
  if (text.length < length) {
    return undefined;
  }
  const body = text.slice(end + headerEnd.length, length);
  return { received: { method, target, headers, body, socket }, length };
};

/** Formats a status line and headers, with the request's id and a signature. */
export const formatResponseHead = (
  request: ReceivedRequest,
  status: string,
  headers: readonly string[] = [],
): string =>
  [
    `HTTP/1.1 ${status}`,
    `X-Request-Id: ${request.headers.get('x-request-id') ?? ''}`,
    `X-Response-Signature: ${request.signature ?? 'signature'}`,
    ...headers,
    '',
    '',
  ].join('\r\n');

/** Sends a complete response with a body. */
export const sendResponse = (
  request: ReceivedRequest,
  body: string,
  status = '200 OK',
  headers: readonly string[] = [],
): void => {
  const length = `Content-Length: ${String(body.length)}`;
  const head = formatResponseHead(request, status, [length, ...headers]);
  request.socket.write(head + body);
};

const sendJson = (
  request: ReceivedRequest,
  json: unknown,
  status = 200,
): void => {
  const headers = ['Content-Type: application/json'];
  sendResponse(request, JSON.stringify(json), `${String(status)} OK`, headers);
};

/** Starts a chunked response of server-sent events. */
export const beginEventStream = (
  request: ReceivedRequest,
  extraHeaders: readonly string[] = [],
): void => {
  const headers = [
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
    ...extraHeaders,
  ];
  request.socket.write(formatResponseHead(request, '200 OK', headers));
};

/** Sends text as one chunk of the response. */
export const writeChunk = (request: ReceivedRequest, text: string): void => {
  request.socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
};

/** Sends the last chunk, which completes the response. */
export const endEventStream = (request: ReceivedRequest): void => {
  request.socket.write('0\r\n\r\n');
};
