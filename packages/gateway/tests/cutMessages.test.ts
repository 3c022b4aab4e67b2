/** News and messages about suspects that stop before their end are never taken for whole ones. */
import { createServer } from 'node:http';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { LogComponent, getOrThrow, type Address } from '@lycheetally/common';
import { startListening } from '@lycheetally/node';
import { BackendServerStandIn, resetConnection } from '@lycheetally/testkit';
import { NewsClient } from '../src/news/newsClient.js';
import { encodeNews } from '../src/news/newsFormat.js';
import { SuspectClient } from '../src/suspects/suspectClient.js';
import { SuspectReceiver } from '../src/suspects/suspectReceiver.js';
import { createQuietLoggers } from './quietLoggers.js';

const local = { host: '127.0.0.1', port: 0 };

const endings = {
  'an orderly end': (socket: Socket): unknown => socket.end(),
  'a reset': resetConnection,
};

const createNews = (records: number): Buffer => {
  const { bytes } = encodeNews({
    records: Array.from({ length: records }, (_, at) => ({
      key: `i-${String(at)}`,
      value: 'x'.repeat(20),
    })),
    next: { era: 1, offset: 9 },
    isTrimmed: false,
    confirmation: 1,
    ageMs: 0,
    heldMs: 0,
  });
  return bytes;
};

const suspects = Buffer.from(JSON.stringify({ isSame: false, records: [] }));

describe('an answer of another gateway', () => {
  let server: BackendServerStandIn;
  let address: Address;
  let answer: Buffer;
  let ending: keyof typeof endings;
  const news = new NewsClient();
  const suspectClient = new SuspectClient();

  beforeEach(async () => {
    server = new BackendServerStandIn('gateway-2', ({ socket }) => {
      socket.write(answer, () => {
        endings[ending](socket);
      });
    });
    const [host = '', port = ''] = (await server.listen()).split(':');
    address = { host, port: Number(port) };
  });

  afterEach(() => {
    server.close();
  });

  const askNews = (): Promise<{ readonly err: boolean }> =>
    news.read(address, 'servers', { from: 1, era: 1, seen: 1 });
  const askSuspects = (): Promise<{ readonly err: boolean }> =>
    suspectClient.send(address, { records: [] });

  it.each([
    ['news', createNews(2), '', askNews],
    ['compressed news', createNews(200), 'Content-Encoding: gzip\r\n', askNews],
    ['suspects', suspects, '', askSuspects],
  ])('with %s fails wherever it is cut', async (_, body, headers, ask) => {
    const length = `Content-Length: ${String(body.length)}\r\n`;
    const seen: [string, number, boolean][] = [];
    for (const how of Object.keys(endings) as (keyof typeof endings)[]) {
      ending = how;
      for (const framing of [length, '']) {
        const head = Buffer.from(`HTTP/1.1 200 OK\r\n${headers}${framing}\r\n`);
        for (const share of [0, 0.5, 0.99]) {
          const bytes = Math.floor(body.length * share);
          answer = Buffer.concat([head, body.subarray(0, bytes)]);
          seen.push([how + framing, share, (await ask()).err]);
        }
      }
    }
    expect(seen.filter(([, , hasFailed]) => !hasFailed)).toEqual([]);
    answer = Buffer.concat([
      Buffer.from(`HTTP/1.1 200 OK\r\n${headers}${length}\r\n`),
      body,
    ]);
    expect((await ask()).err).toBe(false);
  });
});

it.each(Object.entries(endings))(
  'a message about suspects that stops with %s is not received',
  async (_, endMessage) => {
    let received = 0;
    let handled: () => void = () => undefined;
    const isHandled = new Promise<void>(resolve => {
      handled = resolve;
    });
    const receiver = new SuspectReceiver({
      log: createQuietLoggers().createLogger(LogComponent.Store),
      postCompletion: run => {
        run(0);
        handled();
      },
      receiveMessage: () => {
        received += 1;
        return { isSame: true, records: [] };
      },
    });
    const server = createServer((incoming, response) => {
      receiver.receive(incoming, response);
    });
    const { port } = getOrThrow(await startListening(server, local));
    const socket = connect(port, local.host);
    socket.on('error', () => undefined);
    const head =
      'POST /parts HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n';
    socket.write(`${head}{"records":[]}`, () => endMessage(socket));
    await isHandled;
    expect(received).toBe(0);
    server.close();
    server.closeAllConnections();
  },
);
