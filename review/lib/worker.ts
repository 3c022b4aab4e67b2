/** Stand-in for a worker of the platform: answers requests on raw sockets, so that it can also send bytes that are no answer. */
import { createServer, type Server, type Socket } from 'node:net';
import { formatAddress } from '@lycheetally/common';
import { startListening } from '@lycheetally/node';
import type { LogStore } from './store.js';

/** Interval of a worker's records in the store, in milliseconds; `heartbeat_ms` of the settings. */
const heartbeatMs = 1_200;

const headEnd = Buffer.from('\r\n\r\n');

export interface WorkerRequest {
  readonly method: string;
  readonly target: string;
  /** Values by lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly socket: Socket;
}

export type WorkerScript = (request: WorkerRequest) => void;

interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  /** Layers of the model that it holds; absent for a plain service. */
  readonly layers?: number;
}

export class Worker {
  address = '';
  /** Whether it accepts one more channel beside the open ones; it resets the others. */
  mayAccept: (open: ReadonlySet<Socket>) => boolean = () => true;
  private sequence = 0;
  private heartbeat: NodeJS.Timeout | undefined;
  private readonly born = Date.now();
  private readonly sockets = new Set<Socket>();
  private readonly server: Server = createServer(socket => {
    this.serve(socket);
  });

  constructor(
    private readonly options: WorkerOptions,
    private readonly script: WorkerScript,
  ) {}

  /** Listens, registers itself in the store and goes on doing so. */
  async start(store: LogStore): Promise<void> {
    const bound = await startListening(this.server, {
      host: '127.0.0.1',
      port: 0,
    });
    this.address = formatAddress(bound.unwrap());
    const register = (): void => {
      this.sequence += 1;
      store.put('keyed.servers', this.options.id, this.describe());
    };
    register();
    this.heartbeat = setInterval(register, heartbeatMs);
  }

  close(): void {
    clearInterval(this.heartbeat);
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  private describe(): Record<string, unknown> {
    const { service, layers } = this.options;
    return {
      backend: service,
      address: this.address,
      zone: 'zone-a',
      version: 'v1',
      slots: 64,
      state: 'ready',
      cold_left_ms: 0,
      seq: this.sequence,
      born: this.born,
      ...(layers === undefined
        ? {}
        : { kind: 'card', layers: { from: 0, target: layers, version: 1 } }),
    };
  }

  private serve(socket: Socket): void {
    let bytes = Buffer.alloc(0);
    socket.on('error', () => undefined);
    if (!this.mayAccept(this.sockets)) {
      resetChannel(socket);
      return;
    }
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', chunk => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        const parsed = parseRequest(bytes, socket);
        if (!parsed) {
          return;
        }
        bytes = bytes.subarray(parsed.length);
        this.handleRequest(parsed.request);
      }
    });
  }

  private handleRequest(request: WorkerRequest): void {
    const { id, layers } = this.options;
    if (request.target === '/report') {
      const report = {
        stage: 'both',
        models: [],
        busy: false,
        seq: 0,
        waiting: 0,
        running: 0,
        kv_used: 0,
        kv_total: 1_000_000,
        handles: 0,
        born: this.born,
        ...(layers === undefined
          ? {}
          : { layers: { from: 0, target: layers, version: 1 }, stalled: [] }),
      };
      sendAnswer(request, '200 OK', Buffer.from(JSON.stringify(report)));
    } else if (request.target === '/order') {
      sendAnswer(request, '409 Conflict', Buffer.from('{}'));
    } else if (request.target === '/health') {
      sendAnswer(request, '200 OK', Buffer.from('ok'), [
        `X-Instance-Id: ${id}`,
      ]);
    } else if (request.headers.get('x-target-instance') !== id) {
      sendAnswer(request, '421 Misdirected Request', Buffer.from(''), [
        'X-Not-Executed: 1',
      ]);
    } else {
      this.script(request);
    }
  }
}

/** Closes the channel with a reset alone; `resetAndDestroy` of Node's sockets sends a regular end before it. */
export const resetChannel = (socket: Socket): void => {
  const { _handle: handle } = socket as unknown as {
    _handle: { reset: (callback: () => void) => void } | null;
  };
  handle?.reset(() => {
    socket.destroy();
  });
};

const parseRequest = (
  bytes: Buffer,
  socket: Socket,
): { request: WorkerRequest; length: number } | undefined => {
  const end = bytes.indexOf(headEnd);
  if (end < 0) {
    return undefined;
  }
  const [line = '', ...lines] = bytes.toString('latin1', 0, end).split('\r\n');
  const [method = '', target = ''] = line.split(' ');
  const headers = new Map(
    lines.map((each): [string, string] => {
      const at = each.indexOf(':');
      return [each.slice(0, at).toLowerCase(), each.slice(at + 1).trim()];
    }),
  );
  const bodyFrom = end + headEnd.length;
  const length = bodyFrom + Number(headers.get('content-length') ?? 0);
  if (bytes.length < length) {
    return undefined;
  }
  const body = Buffer.from(bytes.subarray(bodyFrom, length));
  return { request: { method, target, headers, body, socket }, length };
};

export const getRequestId = ({ headers }: WorkerRequest): string =>
  headers.get('x-request-id') ?? '';

/** Formats the head of an answer with the request's id and a digest. */
export const formatHead = (
  request: WorkerRequest,
  status: string,
  headers: readonly string[],
): Buffer =>
  Buffer.from(
    [
      `HTTP/1.1 ${status}`,
      `X-Request-Id: ${getRequestId(request)}`,
      'X-Response-Signature: digest',
      ...headers,
      '',
      '',
    ].join('\r\n'),
    'latin1',
  );

export const sendAnswer = (
  request: WorkerRequest,
  status: string,
  body: Buffer,
  headers: readonly string[] = [],
): void => {
  const length = `Content-Length: ${String(body.length)}`;
  const head = formatHead(request, status, [length, ...headers]);
  request.socket.write(Buffer.concat([head, body]));
};

/** Sends a stream: so many events, one each interval. The head may be spoilt on the way. */
export const streamEvents = (
  request: WorkerRequest,
  count: number,
  intervalMs: number,
  spoil: (head: string) => string = head => head,
): void => {
  const { socket } = request;
  const head = formatHead(request, '200 OK', [
    'Content-Type: text/event-stream',
    'X-Weight-Versions: 3',
    'Transfer-Encoding: chunked',
  ]);
  socket.write(Buffer.from(spoil(head.toString('latin1')), 'latin1'));
  let id = Number(request.headers.get('last-event-id') ?? 0);
  const timer = setInterval(() => {
    id += 1;
    const event = `id: ${String(id)}\ndata: ${String(id)}\n\n`;
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    if (id >= count || socket.destroyed) {
      clearInterval(timer);
      socket.write('0\r\n\r\n');
    }
  }, intervalMs);
};
