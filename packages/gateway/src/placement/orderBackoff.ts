/**
 * How long a server that refused an order gets no new one.
 *
 * A server mostly refuses while it carries out another order, whose drain and load
 * take seconds, so the wait doubles with each refusal in a row.
 */
import type { Milliseconds } from '@lycheetally/common';
import { firstOrderCooldownMs, maxOrderCooldownMs } from '../constants.js';
import type { Server } from '../servers/server.js';

type OrderedServer = Pick<Server, 'record'>;

interface Refusals {
  /** Start of the server that refused; a restart clears what it was doing. */
  readonly incarnation: number;
  readonly count: number;
}

export class OrderBackoff {
  private readonly refusals = new WeakMap<OrderedServer, Refusals>();

  noteRefusal(server: OrderedServer): void {
    const { incarnation } = server.record;
    const count = this.countRefusals(server) + 1;
    this.refusals.set(server, { incarnation, count });
  }

  clear(server: OrderedServer): void {
    this.refusals.delete(server);
  }

  computeCooldown(server: OrderedServer): Milliseconds {
    const doublings = Math.max(0, this.countRefusals(server) - 1);
    return Math.min(maxOrderCooldownMs, firstOrderCooldownMs * 2 ** doublings);
  }

  private countRefusals(server: OrderedServer): number {
    const known = this.refusals.get(server);
    return known?.incarnation === server.record.incarnation ? known.count : 0;
  }
}
