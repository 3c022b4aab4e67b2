/**
 * A caller's connection and its open responses; context of the chart `callerConnection`.
 *
 * A connection is closed only after its last open response: a caller may have sent
 * more calls before the first one was answered, and those that were passed on to a
 * server must still be answered. A call is therefore passed on only when the earlier
 * responses of its connection have ended: each of them may have to close it.
 *
 * It is closed only when it was read empty, by the idle limit and at a stop: the timers
 * of the loop run after the reads of their turn, and what a stop closes is read once more.
 * Its idle time is the longer one of the limit in force and of what its caller was told.
 *
 * It is half-closed first and read until its caller closes it too. If bytes of the
 * caller arrived at a closed connection, TCP would reset it, and the reset destroys
 * an answer that is still on its way.
 *
 * Requests that are sent ahead are parsed up to a bound; the rest waits in the socket.
 */
import type { Socket } from 'node:net';
import type { ChartInstance, ChartTimers } from '@lycheetally/charts';
import {
  millisecondsPerSecond,
  type Milliseconds,
  type ValueOf,
} from '@lycheetally/common';
import type { CallLimits, CallerUsage } from '@lycheetally/decisions';
import type {
  ConnectionEvent,
  ConnectionMachine,
} from './callerConnectionChart.js';
import { headCheckMs, idleReserveMs } from '../constants.js';
import { connectionBytes, maxHeadBytes, requestBytes } from './constants.js';
import type { ReadWaits, ReceivedCall } from './callerPort.js';
import type { HttpCaller } from './httpCaller.js';
import type { ReadGarbage } from './readGarbage.js';
import type { ReadingTurns } from './readingTurns.js';
import { RequestFeed } from './requestFeed.js';

/** Why a gateway closes a connection. */
export const CloseReason = {
  /** It had no open response for too long. */
  Idle: 'idle',
  Stop: 'stop',
  /** The connections together hold too much memory, or there are too many, and this one gives way. */
  Excess: 'excess',
  /** An answer was not taken for too long. */
  Unread: 'unread',
} as const;
export type CloseReason = ValueOf<typeof CloseReason>;

/** Services that a caller's connection uses. */
export interface ConnectionServices {
  readonly timers: ChartTimers;
  readonly turns: ReadingTurns;
  readonly garbage: ReadGarbage;
  /** Requests that are parsed before the first of them is answered. */
  readonly maxRequestsAhead: number;
  getLimits(): CallLimits;
  /** Whether a connection whose requests take that many bytes may have further ones parsed, or too much is held already. */
  mayReadAhead(keptBytes: number): boolean;
  /** Whether the body of the call is still being received. */
  isReceiving(caller: HttpCaller): boolean;
  /** Notes that what the connection holds may have changed. */
  noteUsage(connection: CallerConnection): void;
  isDraining(): boolean;
  getNow(): Milliseconds;
  /** Returns the earliest time at which what is read now can have arrived. */
  estimateArrival(now: Milliseconds): Milliseconds;
  /** Notes that a connection was accepted, and returns the earliest time at which it can have come. */
  noteAccepted(now: Milliseconds): Milliseconds;
  /** Runs it in a later turn, after what can be read now. */
  postCompletion(run: (now: Milliseconds) => void): void;
  forwardCall(
    call: ReceivedCall,
    caller: HttpCaller,
    connection: CallerConnection,
  ): void;
  noteClosed(reason: CloseReason): void;
  /** Formats the refusal of a head that came too slowly, and notes it. */
  refuseSlowHead(): string;
}

export class CallerConnection {
  /** Whether a call was received on it. */
  hasServedCalls = false;
  private isCloseAnnounced = false;
  private readonly openCallers = new Set<HttpCaller>();
  /** Calls that wait for an earlier response. */
  private readonly waiting = new Map<HttpCaller, ReceivedCall>();
  private readonly chart: ChartInstance<CallerConnection, ConnectionEvent>;
  private quietSince: Milliseconds = 0;
  /** Bytes that were parsed until the last response ended. */
  private quietBytes = 0;
  /** Idle time that the last response told the caller. */
  private toldIdleMs: Milliseconds = 0;
  /** Raw response to what is no request. */
  private refusal: string | undefined;
  private readonly feed: RequestFeed;
  /** Requests that came while it was closing; Node keeps them until then. */
  private droppedRequests = 0;
  /** Bytes that were parsed since the last head ended. */
  private headBytes = 0;
  private hasParserEnded = false;
  private answers = 0;
  private progressAt: Milliseconds;
  private readonly acceptedAt: Milliseconds;
  /** The earliest time at which it can have come to the listener. */
  private readonly arrivedAt: Milliseconds;

  constructor(
    readonly socket: Socket,
    machine: ConnectionMachine,
    private readonly services: ConnectionServices,
  ) {
    // Node calls it after a response that announced the close.
    socket.destroySoon = () => {
      this.send({ type: 'CLOSE' });
    };
    this.chart = machine.createInstance(this, services.timers);
    this.acceptedAt = services.getNow();
    this.progressAt = this.acceptedAt;
    this.feed = new RequestFeed(socket, services.turns, {
      noteArrival: bytes => {
        services.garbage.note(bytes);
      },
      mayParse: () => this.mayParse,
      hasEnded: () => this.hasEnded,
      notePiece: bytes => {
        // The parser keeps no more; bytes that it drops count nothing.
        this.headBytes = Math.min(this.headBytes + bytes, maxHeadBytes);
      },
      noteRead: () => {
        services.noteUsage(this);
      },
      getNow: () => services.getNow(),
      estimateArrival: now => services.estimateArrival(now),
    });
    this.arrivedAt = services.noteAccepted(this.acceptedAt);
    this.chart.start(this.acceptedAt);
  }

  /** Returns the earliest time at which the first request, which is read now, can have arrived: with the connection, if the sockets were not polled in between. */
  estimateFirstArrival(): Milliseconds {
    return this.hasComeWithConnection ? this.arrivedAt : this.estimateArrival();
  }

  /** Whether what is parsed now can have come with the connection. */
  private get hasComeWithConnection(): boolean {
    return this.feed.arrivedAt <= this.acceptedAt;
  }

  /** Returns the earliest time at which what is parsed now can have arrived. */
  estimateArrival(): Milliseconds {
    return this.feed.arrivedAt;
  }

  /** Tells where the request that is read now waited. */
  describeReadWaits(isOnKeptConnection: boolean): ReadWaits {
    const hasWaitedToConnect =
      !isOnKeptConnection && this.hasComeWithConnection;
    return {
      listenMs: hasWaitedToConnect ? this.acceptedAt - this.arrivedAt : 0,
      putOffMs: this.feed.putOffMs,
    };
  }

  /** Address of the caller, or of what is between. */
  get address(): string {
    return this.socket.remoteAddress ?? '';
  }

  /** What it makes the gateway keep. */
  describeUsage(): CallerUsage {
    const { headBytes, openCallers, socket } = this;
    let bytes =
      connectionBytes +
      headBytes +
      socket.readableLength +
      socket.writableLength +
      this.droppedRequests * requestBytes;
    let isProtected = false;
    for (const caller of openCallers) {
      bytes += requestBytes + caller.keptBytes;
      isProtected ||=
        !this.waiting.has(caller) && !this.services.isReceiving(caller);
    }
    const { progressAt, answers, feed } = this;
    const hasRequestsAhead = openCallers.size > 1 || feed.hasWaiting;
    return { bytes, progressAt, answers, isProtected, hasRequestsAhead };
  }

  /** Whether an answer waits that its caller does not take. */
  get hasUnreadAnswer(): boolean {
    return this.socket.writableLength > 0;
  }

  /** Counts a request that came while the connection closes. */
  noteDropped(): void {
    this.headBytes = 0;
    this.droppedRequests += 1;
  }

  /** Notes that a part of a body was received. */
  noteBody(): void {
    this.headBytes = 0;
  }

  /** A piece may end one body and begin the next request, so that one request more than the bound is open at most. */
  private get mayParse(): boolean {
    const { maxRequestsAhead } = this.services;
    const open = this.openCallers.size + this.droppedRequests;
    const mayReadAhead = this.services.mayReadAhead(this.countKeptBytes());
    const bound = mayReadAhead ? maxRequestsAhead : 1;
    return open < bound || (open === bound && this.isReceivingLast);
  }

  /** Memory of the open requests, in bytes. */
  private countKeptBytes(): number {
    let bytes = 0;
    for (const { keptBytes } of this.openCallers) {
      bytes += keptBytes;
    }
    return bytes;
  }

  /** Whether the body of the last request goes on. */
  private get isReceivingLast(): boolean {
    let last: HttpCaller | undefined;
    for (const caller of this.openCallers) {
      last = caller;
    }
    return last !== undefined && this.services.isReceiving(last);
  }

  /** Whether nothing more is parsed: it was refused, or its last response has ended. */
  private get hasEnded(): boolean {
    return (
      this.hasParserEnded ||
      this.refusal !== undefined ||
      this.chart.matches('closing') ||
      this.chart.isFinal
    );
  }

  /** Notes that Node has given the parser of the connection up, so that nothing may be parsed any more. */
  noteParserEnded(): void {
    this.hasParserEnded = true;
  }

  /** Whether it closes after its last open response; further requests are not passed on. */
  get isClosing(): boolean {
    return this.isCloseAnnounced || this.hasEnded;
  }

  /** Whether the caller has closed the connection, as far as the socket was read. */
  get hasCallerLeft(): boolean {
    return this.socket.destroyed || this.socket.readableEnded;
  }

  add(caller: HttpCaller): void {
    this.hasServedCalls = true;
    this.headBytes = 0;
    this.openCallers.add(caller);
    this.send({ type: 'REQUEST' });
  }

  /** Lists the callers whose response has not ended, in the order of their calls. */
  listOpen(): readonly HttpCaller[] {
    return [...this.openCallers];
  }

  /** Passes a call on once it is the first one without a response. */
  enqueue(call: ReceivedCall, caller: HttpCaller): void {
    this.progressAt = this.services.getNow();
    this.waiting.set(caller, call);
    this.forwardNext();
  }

  /** Finds a call that was received whole and is not passed on yet. */
  findWaiting(caller: HttpCaller): ReceivedCall | undefined {
    return this.waiting.get(caller);
  }

  /** Decides whether the head of this response announces the close; before a refusal it doesn't, since the refusal will. */
  decideClose(caller: HttpCaller): boolean {
    // Requests that wait in the socket came before the close is announced.
    const isLast = this.listOpen().at(-1) === caller && !this.feed.hasWaiting;
    this.isCloseAnnounced ||= this.services.isDraining() && isLast;
    return this.isCloseAnnounced && isLast;
  }

  /** Notes that a response announces the close, or will once the ones before it have ended. */
  noteCloseAnnounced(): void {
    this.isCloseAnnounced = true;
  }

  /** Notes that a response tells the caller the idle limit, and returns it in seconds. */
  noteIdleTimeTold(): number {
    const { idleTimeoutMs } = this.services.getLimits();
    this.toldIdleMs = idleTimeoutMs;
    return Math.floor(idleTimeoutMs / millisecondsPerSecond);
  }

  /** Notes that a response has ended; closes the connection if no head announced it. */
  finish(caller: HttpCaller): void {
    this.openCallers.delete(caller);
    this.waiting.delete(caller);
    if (caller.hasFinished) {
      this.answers += 1;
      this.progressAt = this.services.getNow();
    }
    if (this.openCallers.size === 0) {
      this.send({ type: 'ENDED' });
    }
    this.forwardNext();
    this.feed.resume();
  }

  /** Closes the connection of a draining gateway if it has no open response and no request comes. */
  closeWhenIdle(): void {
    if (this.services.isDraining() && !this.isClosing) {
      this.send({ type: 'DRAIN' });
    }
  }

  /** Answers what is no request, after the open responses, and closes the connection. */
  refuseMalformed(refusal: string): void {
    this.send({ type: 'MALFORMED', refusal });
  }

  /** Notes that a head has not arrived in time, as far as the socket was read. */
  noteHeadOverdue(): void {
    this.send({ type: 'HEAD_OVERDUE' });
  }

  /** Closes it at once with a reset, which drops what was not sent. */
  reset(): void {
    // Node would end it in order first, after what waits to be sent.
    this.socket.destroySoon = () => {
      this.socket.destroy();
    };
    this.socket.resetAndDestroy();
  }

  /** Notes that the socket has closed. */
  noteLost(): void {
    this.feed.dispose();
    this.send({ type: 'LOST' });
  }

  readonly chartActions = {
    noteQuiet: (now: Milliseconds): void => {
      this.quietSince = now;
      this.quietBytes = this.socket.bytesRead - this.socket.readableLength;
    },
    awaitRead: (): void => {
      this.services.postCompletion(now => {
        if (this.feed.hasWaiting) {
          // What waits in the socket has arrived, and is parsed in a later turn.
          this.chartActions.awaitRead();
        } else {
          this.chart.send({ type: 'READ' }, now);
        }
      });
    },
    keepRefusal: (event: ConnectionEvent | undefined): void => {
      this.refusal ??= event?.refusal;
    },
    keepTimeoutRefusal: (): void => {
      this.refusal ??= this.services.refuseSlowHead();
    },
    sendRefusal: (): void => {
      this.socket.write(this.refusal ?? '');
    },
    noteIdleClose: (): void => {
      this.services.noteClosed(CloseReason.Idle);
    },
    noteDrainClose: (): void => {
      this.services.noteClosed(CloseReason.Stop);
    },
    halfClose: (): void => {
      this.socket.end();
      // A reset would follow bytes that are not read.
      this.feed.resume();
    },
    destroySocket: (): void => {
      this.socket.destroy();
    },
    hasNewBytes: (): boolean => this.socket.bytesRead > this.quietBytes,
    hasRefusal: (): boolean => this.refusal !== undefined,
    isDraining: (): boolean => this.services.isDraining(),
    /** Time until the connection has been idle for too long. */
    computeIdleTime: (now: Milliseconds): Milliseconds => {
      const { idleTimeoutMs } = this.services.getLimits();
      const limitMs = Math.max(idleTimeoutMs, this.toldIdleMs);
      return this.quietSince + limitMs + idleReserveMs - now;
    },
    /** Node checks it sooner, unless what has arrived begins no head. */
    computeHeadTimeout: (): Milliseconds =>
      this.services.getLimits().headerTimeoutMs + headCheckMs,
  };

  private send(event: ConnectionEvent): void {
    this.chart.send(event, this.services.getNow());
  }

  private forwardNext(): void {
    const [first] = this.openCallers;
    const call = first && this.waiting.get(first);
    if (!call || this.socket.destroyed || this.socket.writableEnded) {
      return;
    }
    this.waiting.delete(first);
    this.services.forwardCall(call, first, this);
  }
}
