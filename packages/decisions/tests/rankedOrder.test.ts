/** The order of queued work: floors of ranks, fairness between accounts, urgency and slack. */
import { describe, expect, it } from 'vitest';
import {
  FifoOrder,
  RankedOrder,
  UrgencyOrder,
  type WaitingWork,
  type WorkOrder,
} from '../src/index.js';

const stepMs = 10;
const rounds = 1_000;
const ranks = [
  { urgency: 0, floor: 0 },
  { urgency: 1, floor: 0.15 },
  { urgency: 2, floor: 0.05 },
];

const createOrder = (slots = 1_000): RankedOrder =>
  new RankedOrder({
    slots,
    listRanks: () => ranks,
    getWeight: account => (account === 'heavy' ? 3 : 1),
  });

const createWork = (
  urgency: number,
  account = 'depot-1',
  now = 0,
  deadlineMs = 1e9,
): WaitingWork => ({
  rank: `rank-${String(urgency)}`,
  urgency,
  account,
  cost: 10,
  enqueuedAt: now,
  deadlineAt: now + deadlineMs,
});

/** Keeps work of the given ranks queued, and counts the work started of each rank. */
const runOverload = (
  order: WorkOrder,
  urgencies: readonly number[],
): number[] => {
  const served = ranks.map(() => 0);
  urgencies.forEach(urgency => {
    order.add(createWork(urgency));
    order.add(createWork(urgency));
  });
  for (let round = 0; round < rounds; round += 1) {
    const now = round * stepMs;
    const work = order.takeNext(now);
    if (work) {
      served[work.urgency] = (served[work.urgency] ?? 0) + 1;
      order.finish(work, work.cost);
      order.add(createWork(work.urgency, work.account, now));
    }
  }
  return served;
};

describe('RankedOrder', () => {
  it('keeps the floors of lower ranks when the top rank overloads the server', () => {
    const [top, middle, low] = runOverload(createOrder(), [0, 1, 2]);
    expect(middle).toBeGreaterThanOrEqual(rounds * 0.15);
    expect(low).toBeGreaterThanOrEqual(rounds * 0.05);
    expect(top).toBeGreaterThan(rounds * 0.75);
  });

  it('starves the lower ranks when only urgency counts (control)', () => {
    expect(runOverload(new UrgencyOrder(), [0, 1, 2])).toEqual([rounds, 0, 0]);
  });

  it('serves accounts by weight, regardless of how much they queue', () => {
    const order = createOrder();
    for (let index = 0; index < 900; index += 1) {
      order.add(createWork(1, 'flooding'));
      if (index % 3 === 0) {
        order.add(createWork(1, 'heavy'));
      }
    }
    const counts = { flooding: 0, heavy: 0 };
    for (let index = 0; index < 200; index += 1) {
      const work = order.takeNext(index);
      counts[work?.account as 'flooding' | 'heavy'] += 1;
    }
    expect(counts.heavy).toBe(150);
    expect(counts.flooding).toBe(50);
  });

  it('gives an account no credit for idle time', () => {
    const order = createOrder();
    for (let index = 0; index < 300; index += 1) {
      order.add(createWork(1, 'steady'));
    }
    for (let index = 0; index < 100; index += 1) {
      order.takeNext(index);
    }
    for (let index = 0; index < 100; index += 1) {
      order.add(createWork(1, 'late'));
    }
    let late = 0;
    for (let index = 0; index < 100; index += 1) {
      late += order.takeNext(index)?.account === 'late' ? 1 : 0;
    }
    expect(late).toBe(50);
  });

  it('charges an account the actual cost of its work', () => {
    const order = createOrder();
    order.add(createWork(1, 'long'));
    const first = order.takeNext(0);
    order.add(createWork(1, 'long'));
    order.add(createWork(1, 'short'));
    if (first) {
      order.finish(first, 1_000);
    }
    expect(order.takeNext(1)?.account).toBe('short');
  });

  it('starts work with little slack before more urgent work', () => {
    const order = new RankedOrder({
      slots: 1_000,
      listRanks: () => [],
      getWeight: () => 1,
    });
    const seen = createWork(0);
    order.add(seen);
    order.takeNext(0);
    order.finish(seen, seen.cost, 1_000);
    order.add(createWork(1));
    order.add(createWork(2, 'depot-1', 0, 1_500));
    expect(order.takeNext(0)?.urgency).toBe(2);
    expect(order.takeNext(0)?.urgency).toBe(1);
  });

  it('reserves slots for the top rank', () => {
    const order = createOrder(100);
    for (let index = 0; index < 200; index += 1) {
      order.add(createWork(2));
    }
    let started = 0;
    while (order.hasNext(0)) {
      order.takeNext(0);
      started += 1;
    }
    expect(started).toBe(92);
    order.add(createWork(0));
    expect(order.takeNext(0)?.urgency).toBe(0);
  });

  it('removes queued work only once', () => {
    for (const order of [createOrder(), new FifoOrder()]) {
      const work = createWork(1);
      order.add(work);
      expect(order.remove(work)).toBe(true);
      expect(order.remove(work)).toBe(false);
      expect(order.takeNext(0)).toBeUndefined();
    }
  });
});
