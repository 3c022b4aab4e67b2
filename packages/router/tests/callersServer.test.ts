/** Connections of callers while the HTTP server of an entry stops. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { afterAll, afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Outcome } from '@lycheetally/decisions';
import { waitUntil } from '@lycheetally/testkit';
import { CallersServer, CallersSink } from '../src/adapters/callersHttp.js';
import type { CallerExchange } from '../src/index.js';

class RecordingSink extends CallersSink {
  readonly exchanges: CallerExchange[] = [];
  refusals = 0;
  isStopping = false;

  override receiveCall(_: unknown, exchange: CallerExchange): void {
    exchange.handleAccepted(`r-${String(this.exchanges.length)}`);
    this.exchanges.push(exchange);
  }

  override receiveRefusedCall(): void {
    this.refusals += 1;
  }

  override handleCallerDisconnected(): void {
    // No test here ends a connection from the caller's side.
  }

  override handleResponseEnded(): void {
    // The tests read the number of open responses.
  }

  override listServices(): readonly string[] {
    return [];
  }

  override isAcceptingCalls(): boolean {
    return !this.isStopping;
  }
}

const call = 'GET /v1/services/stock/one HTTP/1.1\r\nHost: entry\r\n\r\n';

class RawCaller {
  received = '';
  isClosed = false;
  readonly socket: Socket;

  constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('data', chunk => {
      this.received += chunk.toString();
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
    });
  }

  countAnswers(status: number): number {
    return this.received.split(`HTTP/1.1 ${String(status)} `).length - 1;
  }
}

describe('the HTTP server of a stopping entry', () => {
  let sink: RecordingSink;
  let server: CallersServer;
  let port: number;
  const callers: RawCaller[] = [];

  beforeEach(async () => {
    sink = new RecordingSink();
    server = new CallersServer(sink, 10_000);
    const address = { host: '127.0.0.1', port: 0 };
    ({ port } = (await server.listen(address)).unwrap());
  });

  afterEach(() => {
    server.dispose();
    for (const { socket } of callers.splice(0)) {
      socket.destroy();
    }
  });

  const openCaller = (): RawCaller => {
    const caller = new RawCaller(port);
    callers.push(caller);
    return caller;
  };

  /** Sends calls on one connection and waits until they were received. */
  const sendCalls = async (count: number): Promise<RawCaller> => {
    const caller = openCaller();
    caller.socket.write(call.repeat(count));
    const received = sink.exchanges.length + count;
    await waitUntil(
      'the calls arrive',
      () => sink.exchanges.length === received,
    );
    return caller;
  };

  const finish = (index: number): void => {
    const body = Buffer.from(`answer ${String(index)}`);
    sink.exchanges[index]?.finish({
      requestId: `r-${String(index)}`,
      outcome: Outcome.Complete,
      plain: { status: 200, contentType: 'text/plain', body },
    });
  };

  const waitUntilClosed = (caller: RawCaller): Promise<void> =>
    waitUntil('it is closed', () => caller.isClosed, closeTimeoutMs);

  const stop = (): void => {
    sink.isStopping = true;
    server.close();
  };

  it('closes idle connections at once', async () => {
    const caller = await sendCalls(1);
    finish(0);
    await waitUntil('the answer arrives', () => caller.countAnswers(200) === 1);
    const unused = openCaller();
    await once(unused.socket, 'connect');
    stop();
    await waitUntil(
      'both are closed',
      () => caller.isClosed && unused.isClosed,
    );
  });

  it('closes a connection when the response that was open has ended', async () => {
    const caller = await sendCalls(1);
    stop();
    await wait(quietMs);
    expect(caller.isClosed).toBe(false);
    finish(0);
    await waitUntilClosed(caller);
    expect(caller.received).toContain('answer 0');
  });

  it('answers every pipelined call before it closes their connection', async () => {
    const caller = await sendCalls(2);
    stop();
    finish(0);
    await waitUntil('one answer arrives', () => caller.countAnswers(200) === 1);
    await wait(quietMs);
    expect(caller.isClosed).toBe(false);
    expect(server.openResponses).toBe(1);
    finish(1);
    await waitUntilClosed(caller);
    expect(caller.received).toContain('answer 1');
    expect(server.openResponses).toBe(0);
  });

  it('refuses a call behind an open response and closes their connection', async () => {
    const caller = await sendCalls(1);
    stop();
    caller.socket.write(call);
    await waitUntil('the call is refused', () => sink.refusals === 1);
    finish(0);
    await waitUntilClosed(caller);
    expect(caller.countAnswers(200)).toBe(1);
    expect(caller.countAnswers(503)).toBe(1);
    expect(caller.received.toLowerCase()).toContain('connection: close');
    expect(sink.exchanges).toHaveLength(1);
  });

  it('refuses a call whose head was arriving', async () => {
    const caller = openCaller();
    caller.socket.write(call.slice(0, 20));
    await once(caller.socket, 'connect');
    await wait(quietMs);
    stop();
    caller.socket.write(call.slice(20));
    await waitUntilClosed(caller);
    expect(caller.countAnswers(503)).toBe(1);
  });
});

describe('a request whose body ends early', () => {
  const head = 'POST /v1/services/stock/one HTTP/1.1\r\nHost: entry\r\n';
  const sink = new RecordingSink();
  const server = new CallersServer(sink, 10_000);

  afterAll(() => {
    server.dispose();
  });

  it.each([
    ['a length', 'Content-Length: 9\r\n\r\npart'],
    ['chunks', 'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n'],
  ])('is not passed on (%s)', async (_, rest) => {
    const address = { host: '127.0.0.1', port: 0 };
    const { port } = (await server.listen(address)).unwrap();
    for (const endRequest of ['end', 'resetAndDestroy'] as const) {
      const { socket } = new RawCaller(port);
      sink.refusals = 0;
      socket.write(head + rest);
      await once(socket, 'connect');
      socket[endRequest]();
      await waitUntil('it is refused', () => sink.refusals === 1);
      expect(sink.exchanges).toHaveLength(0);
    }
  });
});

/** Shorter than the time after which an idle connection is closed anyway, in milliseconds. */
const closeTimeoutMs = 2_000;

/** Time in which a connection would have been closed, in milliseconds. */
const quietMs = 100;
