/** Whether a server that closed a connection lives is told from one more connection to it. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { AcceptResult } from '../src/suspects/acceptResult.js';
import { checkAccepts } from '../src/suspects/crashCheck.js';

/** Longer than a living server has to keep a connection open. */
const busyMs = 80;

/** Returns whether a server that does that with its connections counts as living. */
const checkServer = async (
  handleSocket: (socket: Socket) => void,
): Promise<AcceptResult> => {
  let resolveEnded: (result: AcceptResult) => void = () => undefined;
  const ended = new Promise<AcceptResult>(resolve => {
    resolveEnded = resolve;
  });
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    handleSocket(socket);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  checkAccepts(`127.0.0.1:${String(port)}`, resolveEnded);
  const result = await ended;
  server.close();
  return result;
};

describe('a server that closed a connection', () => {
  it('lives if it keeps another one open', async () => {
    expect(
      await checkServer(socket => {
        socket.resume();
      }),
    ).toBe(AcceptResult.Open);
  });

  // Guards against a crashed server to whose address connections are still accepted.
  it.each([
    ['resets', (socket: Socket): unknown => socket.resetAndDestroy()],
    ['closes', (socket: Socket): unknown => socket.end()],
    [
      'closes, while the loop is busy,',
      (socket: Socket): unknown =>
        // After the connections of a turn are read, and before the timers of the next one.
        setTimeout(setImmediate, 1, () => {
          socket.destroy();
          const endsAt = performance.now() + busyMs;
          while (performance.now() < endsAt);
        }),
    ],
  ])('has crashed if it %s the next one', async (_, handleSocket) => {
    expect(await checkServer(handleSocket)).toBe(AcceptResult.Closed);
  });
});

it('a server at whose address nothing listens has crashed', async () => {
  const server = createServer();
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  const result = await new Promise(resolve => {
    checkAccepts(`127.0.0.1:${String(port)}`, resolve);
  });
  expect(result).toBe(AcceptResult.Absent);
});
