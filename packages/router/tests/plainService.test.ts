/** An answer of a plain service that stops before its end is never taken for a whole one. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { Offer } from '@lycheetally/protocol';
import { BackendServerStandIn, resetConnection } from '@lycheetally/testkit';
import { HttpPlainService } from '../src/adapters/plainServiceHttp.js';

const offer: Offer = {
  requestId: 'r-1',
  attempt: 1,
  epoch: 1,
  account: 'a',
  rank: 'normal',
  urgency: 0,
  service: 'stock',
  timeLeftMs: 1_000,
  repeatable: false,
  stages: [],
  stageIndex: 0,
  plain: {
    method: 'POST',
    path: '/',
    contentType: 'text/plain',
    body: Buffer.from('x'),
  },
};

const ending = { Reset: 'a reset', End: 'an orderly end' } as const;
type Ending = (typeof ending)[keyof typeof ending];

describe('an answer of a plain service', () => {
  let answer: string;
  let end: Ending;
  let server: BackendServerStandIn;
  let service: HttpPlainService;

  beforeEach(async () => {
    server = new BackendServerStandIn('s-1', ({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${answer}`, () => {
        if (end === ending.Reset) {
          resetConnection(socket);
        } else {
          socket.end();
        }
      });
    });
    service = new HttpPlainService(`http://${await server.listen()}`);
  });

  afterEach(() => {
    service.dispose();
    server.close();
  });

  const run = (): Promise<string> =>
    new Promise(resolve => {
      service.startRun(offer, {
        receiveActivations: () => undefined,
        receiveToken: () => undefined,
        receiveAnswer: ({ body }) => {
          resolve(Buffer.from(body).toString());
        },
        handleFailure: ({ kind }) => {
          resolve(kind);
        },
      });
    });

  it.each([
    ['neither length nor chunks', '\r\npart', ending.End, 'part'],
    ['neither length nor chunks', '\r\npart', ending.Reset, 'backend-failed'],
    ['a length', 'Content-Length: 9\r\n\r\npart', ending.End, 'backend-failed'],
    [
      'a length',
      'Content-Length: 9\r\n\r\npart',
      ending.Reset,
      'backend-failed',
    ],
    [
      'chunks',
      'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n',
      ending.End,
      'backend-failed',
    ],
    [
      'chunks',
      'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n',
      ending.Reset,
      'backend-failed',
    ],
    ['its whole length', 'Content-Length: 4\r\n\r\npart', ending.Reset, 'part'],
  ] as const)('with %s (%j) and %s is: %s', async (_, text, how, expected) => {
    answer = text;
    end = how;
    expect(await run()).toBe(expected);
  });
});
