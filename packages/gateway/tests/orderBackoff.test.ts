/** How long a server that refuses orders is left alone. */
import { describe, expect, it } from 'vitest';
import { firstOrderCooldownMs, maxOrderCooldownMs } from '../src/constants.js';
import { OrderBackoff } from '../src/placement/orderBackoff.js';

const createServer = (incarnation: number) => ({
  record: {
    serverId: 'i-1',
    service: 'model',
    address: '127.0.0.1:1',
    failureDomain: 'a',
    slots: 10,
    isLeaving: false,
    incarnation,
    sequence: 1,
    kind: 'large',
    range: undefined,
  },
});

const refuseOften = (
  backoff: OrderBackoff,
  server: ReturnType<typeof createServer>,
): number[] =>
  Array.from({ length: 6 }, () => {
    backoff.noteRefusal(server);
    return backoff.computeCooldown(server);
  });

describe('a server that refuses again and again', () => {
  it('is asked after a time that doubles up to a bound', () => {
    const waits = refuseOften(new OrderBackoff(), createServer(1));
    expect(waits).toEqual([
      firstOrderCooldownMs,
      firstOrderCooldownMs * 2,
      firstOrderCooldownMs * 4,
      maxOrderCooldownMs,
      maxOrderCooldownMs,
      maxOrderCooldownMs,
    ]);
  });

  it('is asked soon again once it accepted an order or was restarted', () => {
    const backoff = new OrderBackoff();
    const server = createServer(1);
    refuseOften(backoff, server);
    backoff.clear(server);
    backoff.noteRefusal(server);
    expect(backoff.computeCooldown(server)).toBe(firstOrderCooldownMs);
    refuseOften(backoff, server);
    server.record.incarnation = 2;
    backoff.noteRefusal(server);
    expect(backoff.computeCooldown(server)).toBe(firstOrderCooldownMs);
  });
});
