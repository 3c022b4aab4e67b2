/** What is known of a call whose bytes were read, and parsed only in a later turn. */
import { connect, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { getOrThrow } from '@lycheetally/common';
import { LargestFirstMemory } from '@lycheetally/decisions';
import { GarbageCollector } from '@lycheetally/node';
import type { CallFields } from '../src/callFormat.js';
import type { ReceivedCall } from '../src/callers/callerPort.js';
import { maxReadingMs } from '../src/callers/constants.js';
import { HttpFrontend, type CallHandler } from '../src/callers/httpFrontend.js';
import { ManualTimers } from './manualTimers.js';
import { UnusedFormat } from './unusedFormat.js';

class EmptyFormat extends UnusedFormat {
  override readCall(): CallFields {
    return {
      requestId: 'put-off',
      host: 'one.example',
      key: undefined,
      remainingMs: undefined,
      promptTokens: undefined,
      maxOutputTokens: undefined,
      hintedOutputTokens: undefined,
      promptParts: [],
      forwarded: [],
    };
  }
}

class UnusedCollector extends GarbageCollector {
  override collectYoung(): void {
    throw new Error('little is read');
  }

  override collectAll(): void {
    throw new Error('little is read');
  }
}

const putOffMs = 1_000;

/** Time in which bytes on this machine arrive, in milliseconds. */
const arriveMs = 100;

let now: number;
let deferred: (() => void)[];
let received: ReceivedCall[];
let frontend: HttpFrontend;
let sockets: Socket[];

beforeEach(() => {
  now = 0;
  deferred = [];
  received = [];
  sockets = [];
  const handler: CallHandler = {
    receiveCall: call => {
      received.push(call);
    },
    receiveDisconnect: () => undefined,
    noteResponseClosed: () => undefined,
    noteRefused: () => {
      // The read of what is malformed takes the whole turn.
      now += maxReadingMs;
    },
    noteUnfinished: () => undefined,
    noteDropped: () => undefined,
    noteConnectionClosed: () => undefined,
    noteExcess: () => undefined,
    postCompletion: () => undefined,
    getNow: () => now,
    estimateArrival: at => at,
    noteAccepted: at => at,
    deferReading: run => {
      deferred.push(run);
    },
  };
  frontend = new HttpFrontend(
    new EmptyFormat(),
    handler,
    new ManualTimers(),
    new LargestFirstMemory(1_000_000),
    {
      maxBytes: 1_000_000,
      minExcessBytes: 1_000,
      maxConnections: 10,
      maxReadGarbageBytes: Infinity,
      maxRequestsAhead: 16,
      stalledMs: 60_000,
    },
    new UnusedCollector(),
  );
});

afterEach(() => {
  sockets.forEach(socket => {
    socket.destroy();
  });
  frontend.dispose();
});

// Guards against a time limit that begins when a call is parsed, though its bytes had arrived long before.
it('a call that was put off keeps the time of its arrival', async () => {
  const { port } = getOrThrow(
    await frontend.listen({ host: '127.0.0.1', port: 0 }),
  );
  for (const text of [
    'GET / HTTP/1.1\r\n\r\n',
    'GET / HTTP/1.1\r\nHost: one.example\r\n\r\n',
  ]) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    await wait(arriveMs);
    socket.write(text);
  }
  await wait(arriveMs);
  expect(received).toEqual([]);
  now += putOffMs;
  deferred.splice(0).forEach(run => {
    run();
  });
  await wait(arriveMs);
  const [call] = received;
  expect(call?.readWaits.putOffMs).toBe(putOffMs);
  expect(call?.arrivedAt).toBeLessThanOrEqual(maxReadingMs);
});
