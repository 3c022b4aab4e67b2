/**
 * A caller's connection and its open responses.
 *
 * A connection is closed only after its last open response: a caller may have sent
 * more calls before the first one was answered, and those that were passed on to a
 * server must still be answered. A call is therefore passed on only when the earlier
 * responses of its connection have ended: each of them may have to close it.
 *
 * It is half-closed first and read until its caller closes it too. If bytes of the
 * caller arrived at a closed connection, TCP would reset it, and the reset destroys
 * an answer that is still on its way.
 */
import type { Socket } from 'node:net';
import type { ChartTimers } from '@lycheetally/charts';
import { lingerTimeoutMs } from './constants.js';
import type { ReceivedCall } from './callerPort.js';
import type { HttpCaller } from './httpCaller.js';

export class CallerConnection {
  /** Whether it closes after its last open response; further requests are not passed on. */
  isClosing = false;
  /** Whether a call was received on it. */
  hasServedCalls = false;
  private readonly openCallers = new Set<HttpCaller>();
  /** Calls that wait for an earlier response. */
  private readonly waiting = new Map<HttpCaller, ReceivedCall>();

  constructor(
    private readonly socket: Socket,
    private readonly timers: ChartTimers,
    private readonly isDraining: () => boolean,
    private readonly forwardCall: (
      call: ReceivedCall,
      caller: HttpCaller,
    ) => void,
  ) {
    // Node calls it after a response that announced the close.
    socket.destroySoon = () => {
      this.close();
    };
  }

  /** Whether the caller has closed the connection, as far as the socket was read. */
  get hasCallerLeft(): boolean {
    return this.socket.destroyed || this.socket.readableEnded;
  }

  add(caller: HttpCaller): void {
    this.hasServedCalls = true;
    this.openCallers.add(caller);
  }

  /** Lists the callers whose response has not ended, in the order of their calls. */
  listOpen(): readonly HttpCaller[] {
    return [...this.openCallers];
  }

  /** Passes a call on once it is the first one without a response. */
  enqueue(call: ReceivedCall, caller: HttpCaller): void {
    this.waiting.set(caller, call);
    this.forwardNext();
  }

  /** Finds a call that was received whole and is not passed on yet. */
  findWaiting(caller: HttpCaller): ReceivedCall | undefined {
    return this.waiting.get(caller);
  }

  /** Decides whether the head of this response announces the close. */
  decideClose(caller: HttpCaller): boolean {
    const isLast = this.listOpen().at(-1) === caller;
    this.isClosing ||= this.isDraining() && isLast;
    return this.isClosing && isLast;
  }

  /** Notes that a response has ended; closes the connection if no head announced it. */
  finish(caller: HttpCaller): void {
    this.openCallers.delete(caller);
    this.waiting.delete(caller);
    this.closeWhenIdle();
    this.forwardNext();
  }

  /** Closes the connection of a draining gateway if it has no open response. */
  closeWhenIdle(): void {
    if (this.isDraining() && !this.isClosing && this.openCallers.size === 0) {
      this.close();
    }
  }

  private forwardNext(): void {
    const [first] = this.openCallers;
    const call = first && this.waiting.get(first);
    if (!call || this.socket.destroyed || this.socket.writableEnded) {
      return;
    }
    this.waiting.delete(first);
    this.forwardCall(call, first);
  }

  private close(): void {
    const { socket } = this;
    this.isClosing = true;
    if (socket.destroyed) {
      return;
    }
    socket.end();
    const timeout = this.timers.schedule(lingerTimeoutMs, () => {
      socket.destroy();
    });
    socket.once('close', () => {
      timeout.dispose();
    });
  }
}
