/**
 * A caller's connection and its open responses.
 *
 * A connection is closed only after its last open response: a caller may have sent
 * more calls before the first one was answered, and those that were passed on to a
 * server must still be answered.
 */
import type { Socket } from 'node:net';
import type { CallerExchange } from './callerPort.js';

export class CallerConnection {
  /** Whether it closes after its last open response; further requests are not passed on. */
  isClosing = false;
  /** Whether a call was received on it. */
  hasServedCalls = false;
  private readonly openCallers = new Set<CallerExchange>();

  constructor(
    private readonly socket: Socket,
    private readonly isDraining: () => boolean,
  ) {}

  add(caller: CallerExchange): void {
    this.hasServedCalls = true;
    this.openCallers.add(caller);
  }

  /** Decides whether the head of this response announces the close. */
  decideClose(caller: CallerExchange): boolean {
    const isLast = [...this.openCallers].at(-1) === caller;
    this.isClosing ||= this.isDraining() && isLast;
    return this.isClosing && isLast;
  }

  /** Notes that a response has ended; closes the connection if no head announced it. */
  finish(caller: CallerExchange): void {
    this.openCallers.delete(caller);
    if (this.isDraining() && !this.isClosing && this.openCallers.size === 0) {
      this.isClosing = true;
      this.socket.end();
    }
  }
}
