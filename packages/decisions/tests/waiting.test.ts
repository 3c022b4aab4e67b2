/** Guards against a limit that follows single runs or stalls, and a queue that grows or gives up the wrong call. */
import { describe, expect, it } from 'vitest';
import {
  AdaptiveConcurrency,
  CallQueue,
  QueueDecision,
  ReturnTimes,
  RunEnd,
  WaitCost,
  type QueuedCallView,
} from '../src/index.js';

const targets = { firstMs: 500, pauseMs: 300 };

/** Has runs send an event each, at their own interval, for some time. */
const runStreams = (
  limit: AdaptiveConcurrency,
  pauses: readonly number[],
  from: number,
  until: number,
): void => {
  for (let now = from; now < until; now += 10) {
    pauses.forEach((pauseMs, at) => {
      if ((now - from) % pauseMs === 0) {
        limit.noteEvent(String(at), now);
      }
    });
    limit.noteHeld();
    limit.advance(now);
  }
};

const startRuns = (limit: AdaptiveConcurrency, count: number): void => {
  for (let at = 0; at < count; at += 1) {
    limit.noteStarted(String(at), targets, 0);
  }
};

describe('the adaptive limit', () => {
  it('falls within a second of a slowdown, to what is on time', () => {
    const limit = new AdaptiveConcurrency();
    startRuns(limit, 24);
    runStreams(limit, Array<number>(24).fill(50), 0, 1_000);
    expect(limit.value).toBeGreaterThanOrEqual(24);
    runStreams(limit, Array<number>(24).fill(600), 1_000, 2_010);
    expect(limit.value).toBeLessThanOrEqual(12);
  });

  it('falls within a second when all streams stall', () => {
    const limit = new AdaptiveConcurrency();
    startRuns(limit, 10);
    runStreams(limit, Array<number>(10).fill(50), 0, 500);
    for (let now = 500; now <= 1_500; now += 50) {
      limit.advance(now);
    }
    expect(limit.value).toBeLessThan(5);
  });

  it('does not fall for one slow stream among four', () => {
    const limit = new AdaptiveConcurrency();
    startRuns(limit, 4);
    runStreams(limit, [50, 50, 50, 1_500], 0, 3_000);
    expect(limit.value).toBeGreaterThanOrEqual(8);
  });

  it('does not fall for a caller that reads slowly', () => {
    const limit = new AdaptiveConcurrency();
    startRuns(limit, 1);
    limit.noteEvent('0', 50);
    limit.notePaused('0');
    for (let now = 50; now <= 3_000; now += 50) {
      limit.advance(now);
    }
    expect(limit.pressure).toBeLessThan(0.5);
  });
});

const createCall = (changes: Partial<QueuedCallView>): QueuedCallView => ({
  id: '0',
  service: 'desk',
  urgency: 0,
  account: 'a',
  kind: 'talk',
  arrivedAt: 0,
  targetAt: 500,
  deadlineAt: 20_000,
  expectedTokens: 100,
  spentTokens: 0,
  isUnderWay: false,
  refusals: 0,
  toldAt: undefined,
  targets,
  bytes: 1_000,
  ...changes,
});

const createQueue = (): CallQueue =>
  new CallQueue({
    limit: new AdaptiveConcurrency(),
    getWeight: () => 1,
    getRandom: () => 0.5,
  });

describe('a wait queue', () => {
  it('stays within its bounds, whatever arrives, and gives up the least urgent calls', () => {
    const queue = createQueue();
    let refused = 0;
    for (let at = 0; at < 2_000; at += 1) {
      queue.decide(
        createCall({ id: String(at), urgency: at % 3, targetAt: 60_000 }),
        0,
      );
      const given = queue.takeRefused(0);
      refused += given.length;
      expect(given.every(({ call }) => call.urgency > 0)).toBe(true);
      expect(queue.waitingCount).toBeLessThanOrEqual(256);
      if (at > 600) {
        break;
      }
    }
    expect(refused).toBeGreaterThan(0);
  });

  it('is left at once by a call that ends', () => {
    const queue = createQueue();
    for (let at = 0; at < 40; at += 1) {
      queue.decide(createCall({ id: String(at), targetAt: 5_000 }), 0);
    }
    expect(queue.waitingCount).toBeGreaterThan(0);
    for (let at = 0; at < 40; at += 1) {
      queue.remove(String(at), RunEnd.Cancelled, 10);
    }
    expect(queue.waitingCount).toBe(0);
    expect(queue.runningCount).toBe(0);
    expect(queue.takeNext(20)).toBeUndefined();
  });

  it('never holds a stream under way', () => {
    const queue = createQueue();
    for (let at = 0; at < 40; at += 1) {
      queue.decide(createCall({ id: String(at), targetAt: 5_000 }), 0);
    }
    expect(
      queue.decide(createCall({ id: 'resumed', isUnderWay: true }), 0),
    ).toBe(QueueDecision.Run);
  });

  it('gives up calls without a chain when the outage lasts longer than they can wait', () => {
    const queue = createQueue();
    const call = createCall({});
    const outlook = { waitMs: 0, mayReturn: false };
    queue.decide(call, 0);
    expect(queue.decideWithoutChain(call, outlook, 0)).toBe(QueueDecision.Wait);
    expect(queue.takeRefused(100)).toEqual([]);
    const [given] = queue.takeRefused(300);
    expect(given?.refusal.reason).toBe('no chain');
  });
});

describe('times to return', () => {
  it('are spread at the rate of places, earlier for urgent calls, within a third of the time left', () => {
    const returns = new ReturnTimes();
    const reserve = (changes: Partial<QueuedCallView>): number =>
      returns.reserve(
        {
          call: createCall(changes),
          waitMs: 600,
          placeMs: 100,
          random: 0.5,
        },
        0,
      );
    const urgent = [0, 1, 2].map(() => reserve({ urgency: 0 }));
    const late = [0, 1, 2].map(() => reserve({ urgency: 2 }));
    expect(urgent).toEqual([...urgent].sort((a, b) => a - b));
    expect(new Set(urgent).size).toBe(3);
    late.forEach((each, at) => {
      expect(each).toBeGreaterThan(urgent[at] ?? Infinity);
    });
    expect(reserve({ deadlineAt: 300 })).toBeLessThanOrEqual(100);
  });

  it('are not renewed for a call that comes back early', () => {
    const returns = new ReturnTimes();
    const call = createCall({ refusals: 1, toldAt: 900 });
    const request = { call, waitMs: 5_000, placeMs: 100, random: 0.5 };
    expect(returns.reserve(request, 300)).toBe(600);
  });
});

describe('the cost of a refusal', () => {
  it('is highest for urgent calls, those on time, those that returned, and small ones', () => {
    const cost = new WaitCost();
    const compute = (
      changes: Partial<QueuedCallView>,
      isOnTime = true,
    ): number => cost.compute(createCall(changes), isOnTime, 0);
    const usual = compute({});
    expect(compute({ urgency: 1 })).toBeLessThan(usual);
    expect(compute({}, false)).toBeLessThan(usual);
    expect(compute({ refusals: 1 })).toBeGreaterThan(usual);
    expect(compute({ expectedTokens: 400 })).toBeLessThan(usual);
    expect(compute({ isUnderWay: true })).toBe(Infinity);
  });

  it('spares large calls while they are served too seldom', () => {
    const cost = new WaitCost();
    const large = createCall({ expectedTokens: 400 });
    for (let at = 0; at < 40; at += 1) {
      cost.noteOffered(createCall({}), 0);
      cost.noteServed(createCall({}), 0);
    }
    const before = cost.compute(large, true, 0);
    for (let at = 0; at < 4; at += 1) {
      cost.noteOffered(large, 0);
    }
    expect(cost.compute(large, true, 0)).toBeGreaterThan(1.5 * before);
  });
});
