/** Guards against a connection with much work that keeps the others from being read. */
import { ManualClock } from '@lycheetally/node';
import { describe, expect, it } from 'vitest';
import {
  ReadingConnection,
  ReadingTurns,
} from '../src/callers/readingTurns.js';
import {
  maxConnectionReadingMs,
  maxReadingMs,
} from '../src/callers/constants.js';

/** Time that a piece takes, in milliseconds. */
const pieceMs = 0.5;

/** Turns of a loop, with what was read in each. */
class ReadLoop {
  readonly clock = new ManualClock();
  /** Callbacks that were deferred, and not run yet. */
  deferred = 0;
  /** Names of the connections whose pieces were read, in order. */
  readonly read: string[] = [];
  readonly turns = new ReadingTurns(
    () => this.clock.getNow(),
    run => {
      this.deferred += 1;
      this.clock.defer(() => {
        this.deferred -= 1;
        run();
      });
    },
  );

  /** Runs one turn; returns how long it took. */
  runTurn(): number {
    const startedAt = this.clock.getNow();
    this.clock.runIteration();
    return this.clock.getNow() - startedAt;
  }
}

class PieceReader extends ReadingConnection {
  constructor(
    private readonly loop: ReadLoop,
    private readonly name: string,
    public pieces: number,
  ) {
    super();
  }

  override resumeReading(): void {
    const { clock, read, turns } = this.loop;
    const startedAt = clock.getNow();
    while (this.pieces > 0) {
      if (!turns.hasTime(startedAt)) {
        turns.enqueue(this);
        return;
      }
      this.pieces -= 1;
      read.push(this.name);
      clock.advanceBusy(pieceMs);
    }
  }
}

describe('ReadingTurns', () => {
  it('ends a turn after the limit although one connection has more to read', () => {
    const loop = new ReadLoop();
    const reader = new PieceReader(loop, 'much', 1_000);
    reader.resumeReading();
    expect(loop.clock.getNow()).toBe(maxReadingMs);
    while (reader.pieces > 0) {
      expect(loop.runTurn()).toBeLessThanOrEqual(maxReadingMs);
    }
    expect(loop.read).toHaveLength(1_000);
  });

  it('does not let a connection with much work hold up others', () => {
    const loop = new ReadLoop();
    new PieceReader(loop, 'much', 1_000).resumeReading();
    new PieceReader(loop, 'little', 1).resumeReading();
    const before = loop.clock.getNow();
    while (!loop.read.includes('little')) {
      loop.runTurn();
    }
    expect(loop.clock.getNow() - before).toBeLessThanOrEqual(
      maxReadingMs + maxConnectionReadingMs,
    );
  });

  it('gives each connection that waits its turn, in the order of arrival', () => {
    const loop = new ReadLoop();
    const names = Array.from({ length: 150 }, (_, index) => String(index));
    const readers = names.map(name => new PieceReader(loop, name, 20));
    loop.turns.hasTime(loop.clock.getNow());
    loop.clock.advanceBusy(maxReadingMs);
    readers.forEach(reader => {
      reader.resumeReading();
    });
    expect(loop.read).toEqual([]);
    while (new Set(loop.read).size < names.length) {
      expect(loop.runTurn()).toBeLessThanOrEqual(
        maxReadingMs + maxConnectionReadingMs,
      );
    }
    // Nobody is read again before everybody was read once.
    expect([...new Set(loop.read)]).toEqual(names);
    const piecesOfATurn = maxConnectionReadingMs / pieceMs;
    for (const name of names) {
      expect(
        loop.read.filter(each => each === name).length,
      ).toBeLessThanOrEqual(piecesOfATurn);
    }
    while (readers.some(({ pieces }) => pieces > 0)) {
      loop.runTurn();
    }
    expect(loop.read).toHaveLength(names.length * 20);
  });

  it('reads no connection that was removed', () => {
    const loop = new ReadLoop();
    const reader = new PieceReader(loop, 'gone', 1_000);
    reader.resumeReading();
    const read = loop.read.length;
    loop.turns.remove(reader);
    loop.runTurn();
    expect(loop.read).toHaveLength(read);
  });

  it('runs no turn while nothing waits', () => {
    const loop = new ReadLoop();
    expect(loop.deferred).toBe(0);
    new PieceReader(loop, 'little', 1).resumeReading();
    expect(loop.deferred).toBe(1);
    loop.runTurn();
    expect(loop.deferred).toBe(0);
    new PieceReader(loop, 'much', 1_000).resumeReading();
    while (loop.read.length < 1_001) {
      expect(loop.deferred).toBe(1);
      loop.runTurn();
    }
    loop.runTurn();
    loop.runTurn();
    expect(loop.deferred).toBe(0);
  });
});
