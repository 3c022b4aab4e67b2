/** The loop handles one event at a time, in order, under a manual clock. */
import { describe, expect, it } from 'vitest';
import { EventLoop, ManualClock, maxTurnMs } from '../src/index.js';

interface Events {
  first: { value: number };
  second: { value: number };
}

const createLoop = (): {
  loop: EventLoop<Events>;
  clock: ManualClock;
  seen: string[];
} => {
  const clock = new ManualClock(100);
  const loop = new EventLoop<Events>(clock);
  const seen: string[] = [];
  loop.setHandlers({
    first: ({ value }, now) => {
      seen.push(`first ${String(value)} at ${String(now)}`);
      loop.post('second', { value: value + 1 });
    },
    second: ({ value }) => {
      seen.push(`second ${String(value)}`);
    },
  });
  return { loop, clock, seen };
};

describe('Loop', () => {
  it('handles events in the order of their posts', () => {
    const { loop, clock, seen } = createLoop();
    loop.post('first', { value: 1 });
    loop.post('second', { value: 9 });
    expect(seen).toEqual([]);
    clock.runDeferred();
    expect(seen).toEqual(['first 1 at 100', 'second 9', 'second 2']);
  });

  it('fires timers at their time and never after their disposal', () => {
    const { loop, clock, seen } = createLoop();
    loop.schedule(10, now => seen.push(`timer at ${String(now)}`));
    const stopped = loop.schedule(5, () => seen.push('never'));
    stopped.dispose();
    clock.advance(20);
    expect(seen).toEqual(['timer at 110']);
  });

  it('reports a handler that throws and continues', () => {
    const { loop, clock, seen } = createLoop();
    const faults: string[] = [];
    loop.handlerFailed.subscribe(fault => faults.push(fault.kind));
    loop.schedule(0, () => {
      throw new Error('broken');
    });
    loop.schedule(1, () => seen.push('went on'));
    clock.advance(2);
    expect(faults).toEqual(['timer']);
    expect(seen).toEqual(['went on']);
  });

  // Guards against turns that act for seconds on what was read before them.
  it('ends a turn after a bounded time and polls before the next one', () => {
    const { loop, clock, seen } = createLoop();
    const eventMs = 9;
    for (let value = 1; value <= 4; value += 1) {
      loop.schedule(0, () => {
        seen.push(`event ${String(value)}`);
        clock.advanceBusy(eventMs);
      });
    }
    loop.turnEnded.subscribe(() => seen.push('end of turn'));
    clock.runTimers();
    clock.runIteration();
    const firstTurn = ['event 1', 'event 2', 'event 3', 'end of turn'];
    expect(seen).toEqual(firstTurn);
    clock.runIteration();
    expect(seen).toEqual([...firstTurn, 'event 4', 'end of turn']);
  });

  // Guards against the end of a caller that waits behind the work of others.
  it('handles ends before all other events, and one other event in each turn', () => {
    const { loop, clock, seen } = createLoop();
    loop.post('second', { value: 1 });
    loop.post('second', { value: 2 });
    const eventMs = 30;
    loop.setHandlers({
      first: ({ value }) => {
        seen.push(`end ${String(value)}`);
        clock.advanceBusy(eventMs);
      },
      second: ({ value }) => {
        seen.push(`event ${String(value)}`);
        clock.advanceBusy(eventMs);
      },
    });
    loop.postEnd('first', { value: 1 });
    loop.postEnd('first', { value: 2 });
    clock.runIteration();
    expect(seen).toEqual(['end 1', 'event 1']);
    clock.runIteration();
    expect(seen).toEqual(['end 1', 'event 1', 'end 2', 'event 2']);
  });

  // Guards against a time limit that waits behind the work of others while runs go on.
  it('takes a timer that ends work before what was posted earlier', () => {
    const { loop, clock, seen } = createLoop();
    loop.post('second', { value: 1 });
    loop.schedule(0, () => seen.push('other timer'));
    loop.schedule(0, () => seen.push('limit'), true);
    clock.runTimers();
    clock.runIteration();
    expect(seen).toEqual(['limit', 'second 1', 'other timer']);
  });

  // Guards against connections that wait in the queue of the listener for one turn each.
  it('leaves out turns while connections come, for a bounded time', () => {
    const { loop, clock, seen } = createLoop();
    const acceptMs = 2;
    loop.post('second', { value: 1 });
    for (let count = 1; count <= 3; count += 1) {
      loop.noteAccepted();
      clock.advanceBusy(acceptMs);
      clock.runIteration();
      expect(seen).toEqual(count < 3 ? [] : ['second 1']);
    }
    loop.post('second', { value: 2 });
    clock.runIteration();
    expect(seen).toEqual(['second 1', 'second 2']);
  });

  // Guards against connections that wait for seconds in the queue of the listener while the loop is busy.
  it('leaves out turns for as long as a full turn takes while connections come', () => {
    const { loop, clock, seen } = createLoop();
    const workMs = 10;
    const acceptMs = 2;
    const accepted = 40;
    loop.setHandlers({
      first: () => undefined,
      second: () => {
        clock.advanceBusy(workMs);
        seen.push('event');
        loop.post('second', { value: 1 });
        loop.post('second', { value: 1 });
      },
    });
    loop.post('second', { value: 1 });
    clock.runIteration();
    clock.runIteration();
    seen.length = 0;
    for (let count = 0; count < accepted; count += 1) {
      loop.noteAccepted();
      clock.advanceBusy(acceptMs);
      clock.runIteration();
    }
    expect(seen.length).toBeGreaterThan(0);
    expect(seen.length * workMs).toBeLessThanOrEqual(
      accepted * acceptMs + maxTurnMs,
    );
  });

  it('estimates when what is read now can have come', () => {
    const { loop, clock } = createLoop();
    const run = (busyMs: number): void => {
      clock.advanceBusy(busyMs);
      loop.scheduleTurn();
      clock.runIteration();
    };
    run(0);
    run(0);
    const startedAt = clock.getNow();
    run(30);
    clock.advanceBusy(40);
    expect(loop.estimateArrival(clock.getNow())).toBe(startedAt);
    clock.advance(100);
    const idleMs = 100;
    expect(loop.estimateArrival(clock.getNow())).toBe(startedAt + idleMs);
  });

  it('estimates when a connection can have come by the last poll without one', () => {
    const { loop, clock } = createLoop();
    loop.scheduleTurn();
    clock.runIteration();
    loop.scheduleTurn();
    clock.runIteration();
    const emptyAt = clock.getNow();
    for (let count = 0; count < 3; count += 1) {
      clock.advanceBusy(30);
      loop.noteAccepted();
      expect(loop.estimateConnection(clock.getNow())).toBe(emptyAt);
      clock.runIteration();
    }
    clock.advanceBusy(30);
    const lastAt = clock.getNow();
    loop.scheduleTurn();
    clock.runIteration();
    expect(loop.estimateConnection(clock.getNow())).toBe(lastAt - 30);
  });

  it('emits the end of each turn after its events', () => {
    const { loop, clock, seen } = createLoop();
    loop.turnEnded.subscribe(() => seen.push('end of turn'));
    loop.post('second', { value: 1 });
    loop.post('second', { value: 2 });
    clock.runDeferred();
    expect(seen).toEqual(['second 1', 'second 2', 'end of turn']);
  });
});
