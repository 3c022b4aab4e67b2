/** Whether a server that closed a connection lives is told from one more connection to it. */
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { checkAccepts } from '../src/suspects/crashCheck.js';

/** Returns whether a server that does that with its connections counts as living. */
const checkServer = async (
  handleSocket: (socket: Socket) => void,
): Promise<boolean> => {
  let resolveEnded: (isLiving: boolean) => void = () => undefined;
  const ended = new Promise<boolean>(resolve => {
    resolveEnded = resolve;
  });
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('close', () => {
      // What the check finds out, it reports before the server sees the close.
      setTimeout(() => {
        resolveEnded(false);
      }, 500);
    });
    handleSocket(socket);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  checkAccepts(`127.0.0.1:${String(port)}`, () => {
    resolveEnded(true);
  });
  const isLiving = await ended;
  server.close();
  return isLiving;
};

describe('a server that closed a connection', () => {
  it('lives if it keeps another one open', async () => {
    expect(
      await checkServer(socket => {
        socket.resume();
      }),
    ).toBe(true);
  });

  // Guards against a crashed server to whose address connections are still accepted.
  it.each([
    ['resets', (socket: Socket): unknown => socket.resetAndDestroy()],
    ['closes', (socket: Socket): unknown => socket.end()],
  ])('has crashed if it %s the next one', async (_, handleSocket) => {
    expect(await checkServer(handleSocket)).toBe(false);
  });
});
