/** A gateway that stops ends the requests for news that it holds. */
import { describe, expect, it } from 'vitest';
import { NewsClient } from '../src/news/newsClient.js';
import { NewsServer } from '../src/news/newsServer.js';

/** Far below the time for which a request may be held, in milliseconds. */
const maxEndMs = 400;

describe('a stopping gateway', () => {
  it('ends a held request at once, so that the asking one reads the store', async () => {
    let isHeld: () => void = () => undefined;
    const held = new Promise<void>(resolve => {
      isHeld = resolve;
    });
    const server = new NewsServer(
      () => {
        isHeld();
      },
      () => undefined,
    );
    const client = new NewsClient();
    const listening = await server.listen({ host: '127.0.0.1', port: 0 });
    const request = { from: 1, era: 1, seen: 1 };
    const pending = client.read(listening.unwrap(), 'servers', request);
    await held;
    const stoppedAt = performance.now();
    server.dispose();
    expect((await pending).err).toBe(true);
    expect(performance.now() - stoppedAt).toBeLessThan(maxEndMs);
    client.dispose();
  });
});
