/**
 * Passes what arrives on a caller's connection to Node's HTTP parser, as far as it may be parsed now.
 *
 * Node parses a whole read at once: thousands of small requests, each with its objects,
 * before the first one is answered. Here a piece holds one head at most, so that the
 * connection can stop after each. What is not parsed yet stays in the socket, which is not
 * read meanwhile: the caller's bytes then wait at the caller.
 */
import { Socket } from 'node:net';
import type { Milliseconds } from '@lycheetally/common';
import { maxPieceBytes } from './constants.js';
import { ReadingConnection, type ReadingTurns } from './readingTurns.js';

/** What a connection says about its bytes. */
export interface FeedControl {
  /** Whether a further request may be parsed. */
  mayParse(): boolean;
  /** Whether nothing is parsed any more; what still arrives is dropped. */
  hasEnded(): boolean;
  /** Notes that bytes came from the network. */
  noteArrival(bytes: number): void;
  notePiece(bytes: number): void;
  /** Notes that everything that may be parsed now was. */
  noteRead(): void;
  getNow(): Milliseconds;
  /** Returns the earliest time at which what is read now can have arrived. */
  estimateArrival(now: Milliseconds): Milliseconds;
}

type Parse = (this: Socket, bytes: Buffer) => void;

export class RequestFeed extends ReadingConnection {
  /** Whether the connection waits until an answer has ended. */
  private isHeld = false;
  /** Whether it waits, for an answer or for its turn. */
  private isStopped = false;
  /** The earliest time at which the bytes that were parsed last can have arrived. Node tells of a whole request only after their parse. */
  arrivedAt: Milliseconds;
  /** Time for which the bytes that were parsed last had waited for their turn, or for an answer before them. */
  putOffMs: Milliseconds = 0;
  /** Of the bytes that wait in the socket: when they can have arrived at the earliest, and since when they are kept. */
  private waiting:
    | { readonly arrivedAt: Milliseconds; readonly keptAt: Milliseconds }
    | undefined;
  /** Whether the caller has ended the connection, as far as the socket was read. */
  private hasCallerEnded = false;
  private readonly parsers: readonly Parse[];

  constructor(
    private readonly socket: Socket,
    private readonly turns: ReadingTurns,
    private readonly control: FeedControl,
  ) {
    super();
    this.arrivedAt = control.estimateArrival(control.getNow());
    // Node's server has added its parser as a listener; an added one ends its direct reads of the handle.
    this.parsers = socket.listeners('data') as Parse[];
    socket.removeAllListeners('data');
    // Node resumes the socket for each body that was read, and so would read on without end.
    socket.resume = () => (this.isStopped ? socket : this.resumeSocket());
    // The 'end' event comes only after all bytes were taken, also those that wait.
    socket.push = (bytes: unknown, encoding?: BufferEncoding) => {
      if (bytes instanceof Buffer) {
        control.noteArrival(bytes.length);
      }
      const mayPush = Socket.prototype.push.call(socket, bytes, encoding);
      if (bytes === null) {
        this.hasCallerEnded = true;
        this.resume();
      }
      return mayPush;
    };
    socket.on('data', (bytes: Buffer) => {
      this.receive(bytes);
    });
  }

  /** Whether bytes wait in the socket that were not parsed. */
  get hasWaiting(): boolean {
    return !this.socket.destroyed && this.socket.readableLength > 0;
  }

  /** Goes on after an answer has ended, or to drop what still arrives. */
  resume(): void {
    if (this.isHeld) {
      this.isHeld = false;
      this.turns.enqueue(this);
    }
  }

  override resumeReading(): void {
    this.isStopped = false;
    if (!this.socket.destroyed) {
      this.resumeSocket();
      this.socket.read();
    }
  }

  dispose(): void {
    this.turns.remove(this);
  }

  private receive(bytes: Buffer): void {
    const { control, turns } = this;
    const startedAt = control.getNow();
    const { arrivedAt, keptAt } = this.waiting ?? {
      arrivedAt: control.estimateArrival(startedAt),
      keptAt: startedAt,
    };
    this.arrivedAt = arrivedAt;
    this.putOffMs = startedAt - keptAt;
    let from = 0;
    while (from < bytes.length && !control.hasEnded()) {
      this.isHeld = !control.mayParse();
      if (this.isHeld && this.hasCallerEnded) {
        // Nobody takes the answers, and nothing is left in the network that a reset could follow.
        this.socket.destroy();
        return;
      }
      this.isStopped = this.isHeld || !turns.hasTime(startedAt);
      if (this.isStopped) {
        if (!this.isHeld) {
          turns.enqueue(this);
        }
        this.keep(bytes.subarray(from));
        return;
      }
      const to = findPieceEnd(bytes, from);
      this.parse(bytes.subarray(from, to));
      control.notePiece(to - from);
      from = to;
      if (from < bytes.length && this.socket.isPaused()) {
        // Node goes on once its answers or the body were taken.
        this.keep(bytes.subarray(from));
        return;
      }
    }
    if (!this.hasWaiting) {
      this.waiting = undefined;
    }
    control.noteRead();
  }

  private resumeSocket(): Socket {
    Socket.prototype.resume.call(this.socket);
    return this.socket;
  }

  private parse(bytes: Buffer): void {
    for (const parse of this.parsers) {
      parse.call(this.socket, bytes);
    }
  }

  /** Leaves the bytes in the socket and reads no more for now. */
  private keep(bytes: Buffer): void {
    const { control, socket } = this;
    const { arrivedAt } = this;
    this.waiting ??= { arrivedAt, keptAt: control.getNow() };
    if (!socket.destroyed) {
      socket.pause();
      socket.unshift(trimKept(bytes));
    }
    control.noteRead();
  }
}

/** Returns bytes that don't keep the memory of a whole read, where they are a small part of it. */
const trimKept = (bytes: Buffer): Buffer =>
  bytes.length < bytes.buffer.byteLength / 2 ? Buffer.from(bytes) : bytes;

const blankLines = ['\n\r\n', '\n\n'];

/** Returns where the piece ends that begins there: after the next blank line, which ends a head. */
const findPieceEnd = (bytes: Buffer, from: number): number => {
  const piece = bytes.subarray(from, from + maxPieceBytes);
  const ends = blankLines
    .map(line => piece.indexOf(line) + line.length)
    .filter((end, index) => end >= (blankLines[index]?.length ?? 0));
  return from + Math.min(piece.length, ...ends);
};
