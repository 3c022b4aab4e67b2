/** An answer of a plain service or a model engine that stops before its end is never taken for a whole one. */
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { Offer } from '@lycheetally/protocol';
import { BackendServerStandIn, resetConnection } from '@lycheetally/testkit';
import { HttpEngine, requestJson, type BackendPort } from '../src/index.js';
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

const endings = {
  'an orderly end': (socket: Socket): void => {
    socket.end();
  },
  'a reset': resetConnection,
  'no end': (): void => undefined,
};

const unframed = '\r\npart';
const short = 'Content-Length: 9\r\n\r\npart';
const whole = 'Content-Length: 4\r\n\r\npart';
const chunk = 'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n';

let answer: string;
let ending: keyof typeof endings;
let server: BackendServerStandIn;
let url: string;

beforeEach(async () => {
  server = new BackendServerStandIn('s-1', ({ socket }) => {
    socket.write(answer, () => {
      endings[ending](socket);
    });
  });
  url = `http://${await server.listen()}`;
});

afterEach(() => {
  server.close();
});

/** Runs the offer and returns what is reported, up to the answer or the failure. */
const run = async (backend: BackendPort): Promise<readonly string[]> => {
  const reports: string[] = [];
  await new Promise<void>(resolve => {
    backend.startRun(offer, {
      receiveActivations: () => undefined,
      receiveToken: ({ text }) => {
        reports.push(text);
      },
      receiveAnswer: ({ body }) => {
        reports.push(Buffer.from(body).toString());
        resolve();
      },
      handleFailure: ({ kind }) => {
        reports.push(kind);
        resolve();
      },
    });
  });
  backend.dispose();
  return reports;
};

describe('an answer of a plain service', () => {
  it.each([
    ['neither length nor chunks', unframed, 'an orderly end', 'part'],
    ['neither length nor chunks', unframed, 'a reset', 'backend-crashed'],
    ['a length', short, 'an orderly end', 'backend-crashed'],
    ['a length', short, 'a reset', 'backend-crashed'],
    ['chunks', chunk, 'an orderly end', 'backend-crashed'],
    ['chunks', chunk, 'a reset', 'backend-crashed'],
    ['its whole length', whole, 'a reset', 'part'],
  ] as const)('with %s (%j) and %s is: %s', async (_, text, how, expected) => {
    answer = `HTTP/1.1 200 OK\r\n${text}`;
    ending = how;
    expect(await run(new HttpPlainService(url))).toEqual([expected]);
  });
});

describe('a sequence of a model engine', () => {
  const token = '{"position":1,"token":1,"text":"one","end":false}\n';

  it.each([
    ['after a line', token, 'an orderly end'],
    ['after a line', token, 'a reset'],
    ['inside a line', `${token}{"position":2,"tok`, 'an orderly end'],
    ['inside a line', `${token}{"position":2,"tok`, 'a reset'],
  ] as const)('fails when it stops %s (%j) with %s', async (_, text, how) => {
    answer = `HTTP/1.1 200 OK\r\n\r\n${text}`;
    ending = how;
    const reports = await run(new HttpEngine(url));
    expect(reports).toEqual(['one', 'backend-failed']);
  });
});

// Guards against a caller that gets an answer whose status is none of HTTP.
describe.each(['000', '001', '099', '600', '999'])('status %s', status => {
  it.each([
    ['a plain service', (): BackendPort => new HttpPlainService(url)],
    ['a model engine', (): BackendPort => new HttpEngine(url)],
  ])('of %s is its failure', async (_, createBackend) => {
    answer = `HTTP/1.1 ${status} Text\r\n${whole}`;
    ending = 'an orderly end';
    expect(await run(createBackend())).toEqual(['backend-failed']);
  });

  it('of the platform is the failure of the request', async () => {
    answer = `HTTP/1.1 ${status} Text\r\nContent-Length: 2\r\n\r\n{}`;
    ending = 'no end';
    const response = await requestJson({
      method: 'GET',
      url: `${url}/`,
      timeoutMs: 1_000,
    });
    expect(response.err).toBe(true);
  });
});

// Guards against a run that stays open until its deadline, since Node tells of no error.
it.each([
  ['a plain service', (): BackendPort => new HttpPlainService(url)],
  ['a model engine', (): BackendPort => new HttpEngine(url)],
])('%s that changes the protocol has failed', async (_, createBackend) => {
  answer =
    'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n';
  ending = 'no end';
  expect(await run(createBackend())).toEqual(['backend-failed']);
});
