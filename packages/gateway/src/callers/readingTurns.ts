/**
 * Divides the time for reading among the connections of callers.
 *
 * A chunk costs the same work however few bytes it has, so bytes do not bound what a read
 * takes: one read of chunks of two bytes keeps the parser busy for 20 ms. What finds no time
 * waits, and goes on after the next poll in the order of its arrival.
 */
import type { Milliseconds } from '@lycheetally/common';
import { maxConnectionReadingMs, maxReadingMs } from './constants.js';

/** A connection whose bytes wait to be parsed. */
export abstract class ReadingConnection {
  abstract resumeReading(): void;
}

export class ReadingTurns {
  private readonly waiting = new Set<ReadingConnection>();
  private startedAt: Milliseconds | undefined;

  constructor(
    private readonly getNow: () => Milliseconds,
    /** Runs the callback after what can be read now. */
    private readonly defer: (run: () => void) => void,
  ) {}

  /** Whether a connection that has been read since then in this turn may go on. */
  hasTime(since: Milliseconds): boolean {
    const now = this.getNow();
    const turnMs = now - this.beginIfNone(now);
    const ownMs = now - since;
    return (
      turnMs < maxReadingMs &&
      (ownMs < maxConnectionReadingMs || this.waiting.size === 0)
    );
  }

  /** Reads the connection in a later turn. */
  enqueue(connection: ReadingConnection): void {
    this.waiting.add(connection);
    this.beginIfNone(this.getNow());
  }

  remove(connection: ReadingConnection): void {
    this.waiting.delete(connection);
  }

  /** Begins a turn unless one runs; returns when the turn began. */
  private beginIfNone(now: Milliseconds): Milliseconds {
    if (this.startedAt === undefined) {
      this.begin(now);
    }
    return this.startedAt ?? now;
  }

  private begin(now: Milliseconds): void {
    this.startedAt = now;
    this.defer(() => {
      this.run();
    });
  }

  private run(): void {
    this.startedAt = undefined;
    if (this.waiting.size === 0) {
      return;
    }
    const startedAt = this.getNow();
    this.begin(startedAt);
    for (const connection of [...this.waiting]) {
      if (this.getNow() - startedAt >= maxReadingMs) {
        return;
      }
      this.waiting.delete(connection);
      connection.resumeReading();
    }
  }
}
