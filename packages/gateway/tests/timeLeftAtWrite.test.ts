/** What a request says of the time that is left holds when it is written, which may be long after it was made. */
import { createServer, type Server } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { OpenViewGate } from '@lycheetally/testkit';
import { BackendListener, type BackendFailure } from '../src/backendPort.js';
import type { RawHeaders } from '../src/callFormat.js';
import { HttpBackend } from '../src/httpBackend.js';
import { UnusedFormat } from './unusedFormat.js';

class OpenListener extends BackendListener {
  failure: BackendFailure | undefined;
  isConnected = false;

  override handleConnected(): void {
    this.isConnected = true;
  }

  override handleHead(): void {
    throw new Error('no answer comes');
  }

  override handleBody(): void {
    throw new Error('no answer comes');
  }

  override handleEnd(): void {
    throw new Error('no answer comes');
  }

  override handleFailure(failure: BackendFailure): void {
    this.failure = failure;
  }
}

/** Time that this thread is held up between the request and its connection, as on a slow VM. */
const lateMs = 120;

/** Time in which the server reads what was sent. */
const arriveMs = 100;

let server: Server;
let address: string;
let received: string;
let connections: { closed: number };
let backend: HttpBackend;

beforeEach(async () => {
  received = '';
  const counts = { closed: 0 };
  connections = counts;
  server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('close', () => {
      counts.closed += 1;
    });
    socket.on('data', chunk => {
      received += chunk.toString();
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  const port = typeof bound === 'object' ? (bound?.port ?? 0) : 0;
  address = `127.0.0.1:${String(port)}`;
  backend = new HttpBackend(new UnusedFormat(), new OpenViewGate());
});

afterEach(() => {
  backend.dispose();
  server.close();
});

const pauseThread = (forMs: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
};

/** Sends a request whose connection is seen only after the thread was held up. */
const sendLate = async (
  listTimedHeaders: () => RawHeaders | undefined,
): Promise<OpenListener> => {
  const listener = new OpenListener();
  backend.open(
    {
      address,
      method: 'POST',
      target: '/talk',
      headers: [
        'Host',
        'h',
        'X-Part',
        'a',
        'X-Part',
        'b',
        'Content-Length',
        '4',
      ],
      listTimedHeaders,
      body: Buffer.from('body'),
      needsRecentConnection: false,
      needsNewConnection: false,
    },
    listener,
  );
  pauseThread(lateMs);
  await new Promise(resolve => setTimeout(resolve, arriveMs));
  return listener;
};

// Guards against a server that runs a call past its deadline, by the time in which the gateway connected to it.
it('it is the time that is left when the connection is there', async () => {
  const deadlineAt = performance.now() + 1_000;
  const listener = await sendLate(() => [
    'X-Time-Remaining',
    String(Math.round(deadlineAt - performance.now())),
  ]);
  const [, leftMs] = /X-Time-Remaining: (\d+)/.exec(received) ?? [];
  expect(Number(leftMs)).toBeLessThanOrEqual(1_000 - lateMs);
  expect(Number(leftMs)).toBeGreaterThan(0);
  expect(listener.isConnected).toBe(true);
});

it('the other headers and the body are sent as they are', async () => {
  await sendLate(() => ['X-Time-Remaining', '7']);
  expect(received).toBe(
    [
      'POST /talk HTTP/1.1',
      'Host: h',
      'X-Part: a',
      'X-Part: b',
      'Content-Length: 4',
      'X-Time-Remaining: 7',
      'Connection: keep-alive',
      '',
      'body',
    ].join('\r\n'),
  );
});

// Guards against a call that reaches a server after its caller has left, by the time in which the gateway connected to it.
it('nothing is sent for a call that is over when the connection is there', async () => {
  const listener = await sendLate(() => undefined);
  expect(received).toBe('');
  expect(connections.closed).toBe(1);
  expect(listener.failure?.isUnsendable).toBe(true);
  expect(listener.isConnected).toBe(false);
});
