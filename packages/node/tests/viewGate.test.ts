/** What needs a recent view of the sockets waits for a poll after a long event, and no longer than that. */
import { beforeEach, expect, it } from 'vitest';
import { EventLoop, ManualClock, maxViewAgeMs } from '../src/index.js';

interface Events {
  readonly event: number;
}

let clock: ManualClock;
let loop: EventLoop<Events>;
let writes: number;

beforeEach(() => {
  clock = new ManualClock();
  loop = new EventLoop<Events>(clock);
  loop.setHandlers({
    event: busyMs => {
      clock.advanceBusy(busyMs);
    },
  });
  writes = 0;
});

const write = (): void => {
  loop.viewGate.run(() => {
    writes += 1;
  });
};

/** Polls for that long and runs the turn after it. */
const runTurnAfterPoll = (pollMs = 0): void => {
  clock.advanceBusy(pollMs);
  clock.runIteration();
};

it('runs an action at once on a recent view', () => {
  write();
  expect(writes).toBe(1);
});

// Guards against writes after a long event, by what was read before it.
it('runs an action after the poll that follows a long event', () => {
  loop.post('event', 2 * maxViewAgeMs);
  runTurnAfterPoll();
  write();
  expect(writes).toBe(0);
  runTurnAfterPoll();
  expect(writes).toBe(1);
});

// Guards against writes in the poll whose reads took long: what came meanwhile is read in the next one.
it('runs an action one poll later after a long poll', () => {
  loop.scheduleTurn();
  runTurnAfterPoll();
  clock.advanceBusy(2 * maxViewAgeMs);
  write();
  runTurnAfterPoll();
  expect(writes).toBe(0);
  runTurnAfterPoll();
  expect(writes).toBe(1);
});

// Guards against a gateway whose polls all take long, so that it would send nothing.
it('runs an action in every second turn while each poll takes long', () => {
  loop.post('event', 2 * maxViewAgeMs);
  runTurnAfterPoll();
  write();
  write();
  for (let turn = 0; turn < 4; turn += 1) {
    runTurnAfterPoll(2 * maxViewAgeMs);
  }
  expect(writes).toBe(2);
});

it('keeps the order of the actions', () => {
  const order: string[] = [];
  loop.post('event', 2 * maxViewAgeMs);
  runTurnAfterPoll();
  for (const name of ['first', 'second']) {
    loop.viewGate.run(() => order.push(name));
  }
  runTurnAfterPoll();
  loop.viewGate.run(() => order.push('third'));
  expect(order).toEqual(['first', 'second', 'third']);
});

it('reports an action that throws and goes on', () => {
  const faults: string[] = [];
  loop.handlerFailed.subscribe(({ kind }) => faults.push(kind));
  loop.post('event', 2 * maxViewAgeMs);
  runTurnAfterPoll();
  loop.viewGate.run(() => {
    throw new Error('broken');
  });
  write();
  runTurnAfterPoll();
  expect(faults).toEqual(['write']);
  expect(writes).toBe(1);
});
