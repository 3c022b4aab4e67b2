/** Timers of states, and events that actions send to their own chart. */
import { describe, expect, it } from 'vitest';
import type { Disposable } from '@lycheetally/common';
import {
  ChartMachine,
  ChartTimers,
  compileChart,
  type ChartEvent,
  type ChartInstance,
} from '../src/index.js';

class ManualTimers extends ChartTimers {
  pending: {
    delay: number;
    callback: (now: number) => void;
    isEnd: boolean;
  }[] = [];

  override schedule(
    delay: number,
    callback: (now: number) => void,
    isEnd = false,
  ): Disposable {
    const timer = { delay, callback, isEnd };
    this.pending.push(timer);
    return {
      dispose: () => {
        this.pending = this.pending.filter(each => each !== timer);
      },
    };
  }
}

interface Context {
  seen: string[];
  instance?: ChartInstance<Context, ChartEvent>;
}

const definition = {
  id: 'timed',
  initial: 'waiting',
  meta: { events: ['GO', 'AGAIN'], endDelays: ['LIMIT'] },
  states: {
    waiting: {
      entry: 'sendAgain',
      on: { GO: 'done', AGAIN: { actions: 'noteAgain' } },
      after: { LIMIT: 'late' },
    },
    late: { after: { 5: 'waiting' } },
    done: { type: 'final' },
  },
};

const createTimed = (): {
  instance: ChartInstance<Context, ChartEvent>;
  timers: ManualTimers;
  context: Context;
} => {
  const chart = compileChart('timed', JSON.stringify(definition)).unwrap();
  const machine = ChartMachine.bind<Context, ChartEvent>(chart, {
    actions: {
      sendAgain: context => {
        context.seen.push('entered');
        context.instance?.send({ type: 'AGAIN' }, 0);
      },
      noteAgain: context => {
        context.seen.push('again');
      },
    },
    guards: {},
    delays: { LIMIT: () => 40 },
  }).unwrap();
  const timers = new ManualTimers();
  const context: Context = { seen: [] };
  const instance = machine.createInstance(context, timers);
  context.instance = instance;
  instance.start(0);
  return { instance, timers, context };
};

describe('ChartInstance', () => {
  it('handles an event that an action sends after the entry is done', () => {
    expect(createTimed().context.seen).toEqual(['entered', 'again']);
  });

  it('starts, fires and stops the timers of states', () => {
    const { instance, timers } = createTimed();
    expect(timers.pending.map(timer => timer.delay)).toEqual([40]);
    timers.pending[0]?.callback(40);
    expect(instance.state).toBe('late');
    expect(timers.pending.map(timer => timer.delay)).toEqual([5]);
    timers.pending[0]?.callback(45);
    instance.send({ type: 'GO' }, 46);
    expect(instance.isFinal).toBe(true);
    expect(timers.pending).toEqual([]);
  });

  // Guards against a time limit that waits behind other events of the loop.
  it('tells which timers end work', () => {
    const { timers } = createTimed();
    expect(timers.pending.map(({ isEnd }) => isEnd)).toEqual([true]);
    timers.pending[0]?.callback(40);
    expect(timers.pending.map(({ isEnd }) => isEnd)).toEqual([false]);
  });

  it('ignores events that the state does not name', () => {
    const { instance } = createTimed();
    instance.send({ type: 'GO' }, 1);
    expect(instance.send({ type: 'GO' }, 2)).toBe(false);
  });
});
