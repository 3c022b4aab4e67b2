/**
 * Refuses input that is no request: a malformed head, or one that does not arrive in
 * time.
 *
 * A caller takes the next answer on its connection for that to its earliest open call,
 * so the refusal is sent after the answers to all open calls. A head that arrives by
 * then, late as it is, is served.
 */
import type { Socket } from 'node:net';
import type { Milliseconds } from '@lycheetally/common';
import type { ChartTimers } from '@lycheetally/charts';
import type { CallerConnection } from './callerConnection.js';

/** Time in which a head that waits in the socket is read. */
const nextReadMs: Milliseconds = 0;

interface PendingRefusal {
  readonly socket: Socket;
  readonly status: string;
}

export class InputRefusals {
  private readonly pending = new Map<CallerConnection, PendingRefusal>();

  constructor(private readonly timers: ChartTimers) {}

  /** Refuses input once it has no open call before it; only the first refusal counts. */
  add(connection: CallerConnection, socket: Socket, status: string): void {
    if (this.pending.has(connection)) {
      return;
    }
    this.pending.set(connection, { socket, status });
    // The rest of a late head may wait in the socket, if this process was late itself.
    this.timers.schedule(nextReadMs, () => {
      this.sendNext(connection);
    });
  }

  has(connection: CallerConnection): boolean {
    return this.pending.has(connection);
  }

  /** Notes that a head has arrived after all, or that the connection is closed. */
  withdraw(connection: CallerConnection): void {
    this.pending.delete(connection);
  }

  /** Sends the refusal and closes the connection, if it has no open call. */
  sendNext(connection: CallerConnection): void {
    const refusal = this.pending.get(connection);
    if (!refusal || connection.listOpen().length > 0) {
      return;
    }
    this.pending.delete(connection);
    const { socket, status } = refusal;
    if (socket.writable) {
      socket.write(
        `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
      );
      socket.destroySoon();
    }
  }
}
