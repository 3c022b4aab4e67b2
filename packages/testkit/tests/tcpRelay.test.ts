/** Fault injection by a TCP relay between two processes. */
import { connect, createServer } from 'node:net';
import { expect, it } from 'vitest';
import { TcpRelay, waitFor } from '../src/index.js';

it('keeps bytes in order when its delay ends', async () => {
  let received = '';
  const server = createServer(socket => {
    socket.on('data', chunk => {
      received += chunk.toString();
    });
  });
  const port = await new Promise<number>(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const bound = server.address();
      resolve(typeof bound === 'object' ? (bound?.port ?? 0) : 0);
    });
  });
  const relay = new TcpRelay(`127.0.0.1:${String(port)}`);
  const [host = '', relayPort = ''] = (await relay.listen()).split(':');
  relay.setDelay(100);
  const socket = connect(Number(relayPort), host);
  socket.setNoDelay(true);
  let sent = '';
  for (let index = 0; index < 60; index += 1) {
    const text = `<${String(index)}>`;
    sent += text;
    socket.write(text);
    if (index === 30) {
      relay.setDelay(0);
    }
    await waitFor(4);
  }
  while (received.length < sent.length) {
    await waitFor(10);
  }
  expect(received).toBe(sent);
  socket.destroy();
  relay.dispose();
  server.close();
});
