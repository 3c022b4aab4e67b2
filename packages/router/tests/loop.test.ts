/** The loop handles one event at a time, in order, under a manual clock. */
import { describe, expect, it } from 'vitest';
import { EventLoop, ManualClock } from '../src/index.js';

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

  it('emits the end of each turn after its events', () => {
    const { loop, clock, seen } = createLoop();
    loop.turnEnded.subscribe(() => seen.push('end of turn'));
    loop.post('second', { value: 1 });
    loop.post('second', { value: 2 });
    clock.runDeferred();
    expect(seen).toEqual(['second 1', 'second 2', 'end of turn']);
  });
});
