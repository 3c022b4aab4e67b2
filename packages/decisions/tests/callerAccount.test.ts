/** Guards against a connection that gives way in place of a costlier one, and against sums that drift. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CostliestFirstAccount, type CallerUsage } from '../src/index.js';

const limits = { maxBytes: 1_000, minExcessBytes: 0, maxConnections: 5 };
const now = 100_000;
const seed = 41;

const usage: CallerUsage = {
  bytes: 100,
  progressAt: now - 1_000,
  answers: 0,
  isProtected: false,
};

interface Holding {
  readonly holder: string;
  readonly address: string;
  readonly usage: CallerUsage;
}

const holding: fc.Arbitrary<Holding> = fc.record({
  holder: fc.integer({ min: 0, max: 11 }).map(id => `c-${String(id)}`),
  address: fc.constantFrom('10.0.0.1', '10.0.0.2'),
  usage: fc.record({
    bytes: fc.integer({ min: 0, max: 500 }),
    progressAt: fc.integer({ min: now - 60_000, max: now }),
    answers: fc.integer({ min: 0, max: 20 }),
    isProtected: fc.boolean(),
  }),
});

/** An update, or a release of the holder. */
const change = fc.record({ holding, isReleased: fc.boolean() });

/** Applies the changes; returns the account and what the connections must hold by them. */
const applyChanges = (
  changes: readonly { holding: Holding; isReleased: boolean }[],
): {
  account: CostliestFirstAccount<string>;
  held: Map<string, CallerUsage>;
} => {
  const account = new CostliestFirstAccount<string>(limits);
  const held = new Map<string, CallerUsage>();
  for (const { holding: each, isReleased } of changes) {
    if (isReleased) {
      account.release(each.holder);
      held.delete(each.holder);
    } else {
      account.update(each.holder, each.address, each.usage);
      held.set(each.holder, each.usage);
    }
  }
  return { account, held };
};

const computeBytes = (held: ReadonlyMap<string, CallerUsage>): number =>
  [...held.values()].reduce((sum, { bytes }) => sum + bytes, 0);

const isOverLimits = (held: ReadonlyMap<string, CallerUsage>): boolean =>
  computeBytes(held) > limits.maxBytes || held.size > limits.maxConnections;

const computeCost = ({ bytes, progressAt, answers }: CallerUsage): number =>
  (bytes * Math.max(1, now - progressAt)) / (1 + answers);

const checkChanges = (
  check: (
    account: CostliestFirstAccount<string>,
    held: Map<string, CallerUsage>,
  ) => void,
): void => {
  fc.assert(
    fc.property(fc.array(change, { maxLength: 60 }), changes => {
      const { account, held } = applyChanges(changes);
      check(account, held);
    }),
    { seed, numRuns: 500 },
  );
};

describe('CostliestFirstAccount', () => {
  it('counts exactly what the connections hold', () => {
    checkChanges((account, held) => {
      expect(account.totalBytes).toBe(computeBytes(held));
      expect(account.connections).toBe(held.size);
    });
  });

  it('is within its limits after the excess is closed, or only protected connections are left', () => {
    checkChanges((account, held) => {
      for (const excess of account.listExcess(now)) {
        account.release(excess);
        held.delete(excess);
      }
      expect(
        !isOverLimits(held) ||
          [...held.values()].every(({ isProtected }) => isProtected),
      ).toBe(true);
      expect(account.listExcess(now)).toEqual([]);
    });
  });

  it('lists no protected connection and nothing twice', () => {
    checkChanges((account, held) => {
      const excess = account.listExcess(now);
      expect(new Set(excess).size).toBe(excess.length);
      for (const holder of excess) {
        expect(held.get(holder)?.isProtected).toBe(false);
      }
    });
  });

  it('lists no connection while a costlier one that may give way stays', () => {
    checkChanges((account, held) => {
      const excess = new Set(account.listExcess(now));
      const [kept, listed] = [false, true].map(isListed =>
        [...held]
          .filter(([holder]) => excess.has(holder) === isListed)
          .map(([, each]) => each)
          .filter(({ isProtected }) => !isProtected)
          .map(computeCost),
      );
      expect(Math.min(Infinity, ...(listed ?? []))).toBeGreaterThanOrEqual(
        Math.max(0, ...(kept ?? [])),
      );
    });
  });

  it('lists nothing within the limits', () => {
    checkChanges((account, held) => {
      if (!isOverLimits(held)) {
        expect(account.listExcess(now)).toEqual([]);
      }
    });
  });

  it('lists no more than is needed', () => {
    checkChanges((account, held) => {
      const last = account.listExcess(now).at(-1);
      for (const excess of account.listExcess(now)) {
        if (excess !== last) {
          held.delete(excess);
        }
      }
      expect(last === undefined || isOverLimits(held)).toBe(true);
    });
  });

  it('keeps a connection with recent progress beside one that has stood still', () => {
    const account = new CostliestFirstAccount<string>(limits);
    account.update('stalled', '10.0.0.1', { ...usage, bytes: 900 });
    account.update('active', '10.0.0.2', { ...usage, progressAt: now - 1 });
    account.update('other', '10.0.0.2', { ...usage, progressAt: now });
    expect(account.listExcess(now)).toEqual(['stalled']);
  });

  it('of two alike, lists the one whose caller took no answer', () => {
    const account = new CostliestFirstAccount<string>(limits);
    account.update('answered', '10.0.0.1', {
      ...usage,
      bytes: 600,
      answers: 1,
    });
    account.update('new', '10.0.0.2', { ...usage, bytes: 600 });
    expect(account.listExcess(now)).toEqual(['new']);
  });

  it('of two alike, lists the one whose address holds more', () => {
    const account = new CostliestFirstAccount<string>(limits);
    account.update('alone', '10.0.0.1', { ...usage, bytes: 400 });
    account.update('one', '10.0.0.2', { ...usage, bytes: 400 });
    account.update('running', '10.0.0.2', {
      ...usage,
      bytes: 300,
      isProtected: true,
    });
    expect(account.listExcess(now)).toEqual(['one']);
  });

  it('counts nothing for an address whose connections were released', () => {
    const account = new CostliestFirstAccount<string>(limits);
    account.update('gone', '10.0.0.1', { ...usage, bytes: 900 });
    account.release('gone');
    account.release('gone');
    account.update('one', '10.0.0.1', { ...usage, bytes: 550 });
    account.update('two', '10.0.0.2', { ...usage, bytes: 550 });
    account.update('three', '10.0.0.2', { ...usage, bytes: 10 });
    expect(account.listExcess(now)).toEqual(['two']);
  });

  it('bounds the number of connections that hold nothing', () => {
    const account = new CostliestFirstAccount<string>(limits);
    for (let id = 0; id <= limits.maxConnections; id += 1) {
      account.update(`c-${String(id)}`, '10.0.0.1', {
        ...usage,
        bytes: 1,
        progressAt: now - id,
      });
    }
    expect(account.listExcess(now)).toEqual([
      `c-${String(limits.maxConnections)}`,
    ]);
  });
});

// Guards against ordinary callers that are reset while protected connections alone hold too much.
it('closes no connection that holds little for the memory of others', () => {
  const account = new CostliestFirstAccount<string>({
    ...limits,
    minExcessBytes: 100,
  });
  const usage = { progressAt: 0, answers: 0, isProtected: false };
  account.update('running', 'a', { ...usage, bytes: 2_000, isProtected: true });
  account.update('ordinary', 'a', { ...usage, bytes: 99 });
  account.update('large', 'a', { ...usage, bytes: 100 });
  expect(account.listExcess(1)).toEqual(['large']);
});

// Guards against reads that each look at all connections, which holds a gateway up beside many that hold little.
it('looks at no connection while none that may give way holds enough', () => {
  const account = new CostliestFirstAccount<string>({
    ...limits,
    minExcessBytes: 100,
    maxConnections: 1_000,
  });
  let looks = 0;
  const watched: CallerUsage = {
    ...usage,
    bytes: 99,
    get progressAt() {
      looks += 1;
      return now;
    },
  };
  const connections = 200;
  account.update('running', 'a', { ...usage, bytes: 2_000, isProtected: true });
  for (let id = 0; id < connections; id += 1) {
    account.update(`c-${String(id)}`, 'a', watched);
    expect(account.listExcess(now)).toEqual([]);
  }
  expect(looks).toBeLessThanOrEqual(connections);
});

describe('the share of connections whose calls run', () => {
  const running = { ...usage, bytes: 10, isProtected: true };

  // Guards against running calls that take all connections, so that new callers are reset.
  it('leaves a third of the connections to others', () => {
    const account = new CostliestFirstAccount<string>({
      ...limits,
      maxConnections: 6,
    });
    for (let id = 0; id < 4; id += 1) {
      expect(account.mayRunFurther).toBe(true);
      account.update(`c-${String(id)}`, 'a', running);
    }
    expect(account.mayRunFurther).toBe(false);
    account.release('c-0');
    expect(account.mayRunFurther).toBe(true);
  });

  it('leaves a third of the memory to others', () => {
    const account = new CostliestFirstAccount<string>(limits);
    account.update('one', 'a', { ...running, bytes: 666 });
    expect(account.mayRunFurther).toBe(true);
    account.update('one', 'a', { ...running, bytes: 667 });
    expect(account.mayRunFurther).toBe(false);
    account.update('one', 'a', { ...usage, bytes: 667 });
    expect(account.mayRunFurther).toBe(true);
  });

  // Guards against requests sent ahead that keep the places of running calls.
  it('chooses the costliest connection with requests ahead, and no other', () => {
    const account = new CostliestFirstAccount<string>(limits);
    account.update('single', 'a', { ...running, bytes: 300 });
    expect(account.chooseRunning(now)).toBeUndefined();
    const ahead = { ...running, hasRequestsAhead: true };
    account.update('small', 'a', ahead);
    account.update('large', 'a', { ...ahead, bytes: 20 });
    account.update('unread', 'a', { ...ahead, bytes: 400, isProtected: false });
    expect(account.chooseRunning(now)).toBe('large');
  });
});
