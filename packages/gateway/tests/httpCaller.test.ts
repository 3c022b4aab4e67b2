/** What a refused caller is told, and what is counted for an answer on its way. */
import { createServer } from 'node:http';
import { connect, type Socket } from 'node:net';
import { expect, it } from 'vitest';
import { getOrThrow } from '@lycheetally/common';
import { LargestFirstMemory } from '@lycheetally/decisions';
import { V8GarbageCollector, startListening } from '@lycheetally/node';
import { CallerConnection } from '../src/callers/callerConnection.js';
import { bindConnectionChart } from '../src/callers/callerConnectionChart.js';
import { HttpCaller, formatRetryAfter } from '../src/callers/httpCaller.js';
import { ReadGarbage } from '../src/callers/readGarbage.js';
import { ReadingTurns } from '../src/callers/readingTurns.js';
import { ManualTimers } from './manualTimers.js';

const createConnection = (socket: Socket): CallerConnection =>
  new CallerConnection(socket, getOrThrow(bindConnectionChart()), {
    timers: new ManualTimers(),
    turns: new ReadingTurns(
      () => 0,
      () => undefined,
    ),
    garbage: new ReadGarbage(new V8GarbageCollector(), Infinity),
    maxRequestsAhead: 16,
    mayReadAhead: () => true,
    isReceiving: () => false,
    noteUsage: () => undefined,
    getLimits: () => ({
      maxHeaderBytes: 1_000,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    }),
    isDraining: () => false,
    estimateArrival: now => now,
    noteAccepted: now => now,
    getNow: () => 0,
    postCompletion: () => undefined,
    forwardCall: () => undefined,
    noteClosed: () => undefined,
    refuseSlowHead: () => '',
  });

// Guards against callers that are told to return at once while there is no room for some milliseconds.
it.each([
  [1, '0.01'],
  [10, '0.01'],
  [11, '0.02'],
  [1_000, '1.00'],
  [1_996, '2.00'],
])('a wait of %d ms is never shortened: %s', (waitMs, seconds) => {
  expect(formatRetryAfter(waitMs)).toBe(seconds);
});

// Guards against buffers that stay counted, until each call is refused for them, when callers close before their answer is sent.
it('counts nothing for an answer whose caller has closed', async () => {
  const memory = new LargestFirstMemory<object>(1_000);
  const sent = new Promise<void>(resolve => {
    const server = createServer((incoming, response) => {
      const connection = createConnection(incoming.socket);
      const caller = new HttpCaller(response, connection, memory);
      response.once('close', () => {
        const body = Buffer.alloc(100);
        const head = { status: 200, text: 'OK', headers: [] };
        caller.sendResponse({ ...head, body, isFramed: true });
        server.close();
        resolve();
      });
    });
    void startListening(server, { host: '127.0.0.1', port: 0 }).then(bound => {
      const socket = connect(bound.unwrap().port, '127.0.0.1');
      socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
      setTimeout(() => socket.destroy(), 50);
    });
  });
  await sent;
  expect(memory.totalBytes).toBe(0);
});
