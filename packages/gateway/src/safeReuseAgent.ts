/**
 * Keeps idle connections to backend servers, and closes those that deliver
 * unsolicited bytes: the next request on such a connection would get an answer
 * that is not its own.
 */
import { Agent, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Milliseconds } from '@lycheetally/common';

/** Connections opened, re-used, and closed because of unsolicited bytes (surplus). */
export interface ConnectionCounts {
  opened: number;
  reused: number;
  surplus: number;
}

export class SafeReuseAgent extends Agent {
  private readonly closeOnData = new WeakMap<Duplex, () => void>();

  constructor(
    /** Idle connections that are kept to one server. */
    maxIdleConnections: number,
    idleTimeoutMs: Milliseconds,
    private readonly counts: ConnectionCounts,
  ) {
    super({
      keepAlive: true,
      maxFreeSockets: maxIdleConnections,
      scheduling: 'lifo',
      timeout: idleTimeoutMs,
    });
  }

  override keepSocketAlive(socket: Duplex): boolean {
    if (socket.readableLength > 0) {
      this.counts.surplus += 1;
      return false;
    }
    // Node returns whether the socket is kept, but its types declare no result.
    const keep: (socket: Duplex) => unknown = super.keepSocketAlive.bind(this);
    const isKept = keep(socket);
    const closeOnData = (): void => {
      this.counts.surplus += 1;
      socket.destroy();
    };
    socket.once('data', closeOnData);
    this.closeOnData.set(socket, closeOnData);
    return isKept !== false;
  }

  override reuseSocket(socket: Duplex, outgoing: ClientRequest): void {
    const closeOnData = this.closeOnData.get(socket);
    if (closeOnData) {
      socket.off('data', closeOnData);
      this.closeOnData.delete(socket);
    }
    this.counts.reused += 1;
    super.reuseSocket(socket, outgoing);
  }
}
