/**
 * Repair of a placement after losses. On the day that these tests replay, two servers of one chain
 * crashed, and orders then went out one or two at a time for 6 s: with two servers less the domain
 * had memory for one replica instead of two, so each server seemed to hold too much and released layers.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  CommittedRepair,
  ReplicaPerDomain,
  computeCacheCapacity,
  findAcceleratorKind,
  type LayerRange,
  type LayeredModel,
  type PlacementPolicy,
  type StageServer,
} from '../src/index.js';
import { createServers, placeUntilStable } from './stageServers.js';

const model: LayeredModel = {
  layers: 80,
  layerMegabytes: 1_750,
  cacheBytesPerToken: 845_373,
  stepMs: 0.85,
  stepMsPerRequest: 0.0066,
  stepMsPerContextK: 0.0088,
  kinds: [
    { name: 'h100', memoryMegabytes: 72_000, stepFactor: 1.4 },
    { name: 'a100s', memoryMegabytes: 36_000, stepFactor: 3.1 },
    { name: 'l4', memoryMegabytes: 22_000, stepFactor: 16 },
    { name: 't4', memoryMegabytes: 14_000, stepFactor: 15 },
  ],
};

const fleet = [
  ...createServers('a', { h100: 2, a100s: 4, l4: 6, t4: 8 }),
  ...createServers('b', { h100: 1, a100s: 6, l4: 7, t4: 5 }),
  ...createServers('c', { h100: 3, a100s: 3, l4: 5, t4: 8 }),
];

const applyPlan = (
  servers: readonly StageServer[],
  plan: ReadonlyMap<string, LayerRange>,
  isLoading: boolean,
): StageServer[] =>
  servers.map(server => {
    const range = plan.get(server.serverId);
    return range
      ? { ...server, range, ...(isLoading && { isBusy: true, isLoading }) }
      : server;
  });

const committed = new CommittedRepair();
const placed = placeUntilStable(committed, model, fleet);

/** Plans that fit into the 6 s for which orders went out; no load ends in them. */
const plansOfRepair = 15;

interface Repair {
  /** Orders of each plan. */
  readonly orders: readonly ReadonlyMap<string, LayerRange>[];
  readonly servers: readonly StageServer[];
}

const runRepair = (
  policy: PlacementPolicy,
  left: readonly StageServer[],
): Repair => {
  const orders = [];
  let servers = left;
  for (let at = 0; at < plansOfRepair; at += 1) {
    const plan = policy.planPlacement(model, servers);
    orders.push(plan);
    servers = applyPlan(servers, plan, true);
  }
  return { orders, servers };
};

const countOrders = ({ orders }: Repair): number =>
  orders.reduce((sum, plan) => sum + plan.size, 0);

/** Lists the layers that no server of the domain holds or loads. */
const listMissing = (
  servers: readonly StageServer[],
  domain: string,
): number[] =>
  Array.from({ length: model.layers }, (_, layer) => layer).filter(
    layer =>
      !servers.some(
        ({ failureDomain, range }) =>
          failureDomain === domain &&
          range !== undefined &&
          range.from <= layer &&
          layer < range.to,
      ),
  );

const countHeldLayers = (servers: readonly StageServer[]): number =>
  servers.reduce(
    (sum, { range }) => sum + (range ? range.to - range.from : 0),
    0,
  );

/** One in so many pairs is replayed, of which there are 532. */
const pairStep = 7;

/** Lists pairs of servers of one domain. */
const listPairs = (): (readonly [StageServer, StageServer])[] =>
  placed
    .flatMap((first, at) =>
      placed
        .slice(at + 1)
        .filter(({ failureDomain }) => failureDomain === first.failureDomain)
        .map(second => [first, second] as const),
    )
    .filter((_, index) => index % pairStep === 0);

const removeServers = (
  servers: readonly StageServer[],
  lost: readonly StageServer[],
): StageServer[] => {
  const ids = new Set(lost.map(({ serverId }) => serverId));
  return servers.filter(({ serverId }) => !ids.has(serverId));
};

describe('a joined crash of two servers of a domain while one server is loading', () => {
  /** A third server of the domain loads its layers again, as after a restart. */
  const listStates = (): StageServer[][] =>
    listPairs().map(lost => {
      const left = removeServers(placed, lost);
      const loading = left.find(
        ({ failureDomain }) => failureDomain === lost[0].failureDomain,
      );
      return left.map(server =>
        server === loading
          ? { ...server, isBusy: true, isLoading: true }
          : server,
      );
    });

  it('led to further orders in later plans when each plan was made anew', () => {
    const late = listStates()
      .map(left => runRepair(new ReplicaPerDomain(), left))
      .filter(({ orders }) => orders.slice(1).some(plan => plan.size > 0));
    expect(late.length).toBeGreaterThan(0);
  });

  it('is answered by one plan, which gives no order to the server that loads', () => {
    for (const left of listStates()) {
      const { orders } = runRepair(committed, left);
      expect(orders.slice(1).every(plan => plan.size === 0)).toBe(true);
      const busy = left.filter(({ isBusy }) => isBusy === true);
      expect(busy.some(({ serverId }) => orders[0]?.has(serverId))).toBe(false);
    }
  });

  it('leaves each domain with a complete chain, loads included', () => {
    for (const left of listStates()) {
      const { servers } = runRepair(committed, left);
      for (const domain of ['a', 'b', 'c']) {
        expect(listMissing(servers, domain)).toEqual([]);
      }
    }
  });

  it('costs no copies, and less than half of the orders of plans made anew', () => {
    for (const left of listStates()) {
      const held = countHeldLayers(left);
      const { servers } = runRepair(committed, left);
      expect(countHeldLayers(servers)).toBeGreaterThanOrEqual(held);
    }
    const total = listStates().reduce(
      (sum, left) => sum + countOrders(runRepair(committed, left)),
      0,
    );
    const before = listStates().reduce(
      (sum, left) => sum + countOrders(runRepair(new ReplicaPerDomain(), left)),
      0,
    );
    expect(total).toBeLessThan(before / 2);
  });
});

describe('a second loss during the repair', () => {
  it('changes no order of the first plan and leaves each domain with a complete chain', () => {
    const indexes = fc.nat(placed.length - 1);
    fc.assert(
      fc.property(indexes, indexes, indexes, (first, second, third) => {
        const lost = [placed[first], placed[second]].flatMap(s => s ?? []);
        const repair = runRepair(committed, removeServers(placed, lost));
        const next = [placed[third]].flatMap(s => s ?? []);
        const left = removeServers(repair.servers, next);
        const { orders, servers } = runRepair(committed, left);
        const told = repair.orders[0] ?? new Map<string, LayerRange>();
        expect([...told.keys()].some(id => orders[0]?.has(id))).toBe(false);
        expect(orders.slice(1).every(plan => plan.size === 0)).toBe(true);
        for (const domain of ['a', 'b', 'c']) {
          expect(listMissing(servers, domain)).toEqual([]);
        }
      }),
      { seed: 21, numRuns: 100 },
    );
  });
});

describe('servers that restart empty', () => {
  it('lead to a stable placement without gaps, whichever servers were lost', () => {
    fc.assert(
      fc.property(fc.subarray(placed, { maxLength: 6 }), lost => {
        const left = placeUntilStable(
          committed,
          model,
          removeServers(placed, lost),
        );
        const back = lost.map(server => ({ ...server, range: undefined }));
        const after = placeUntilStable(committed, model, [...left, ...back]);
        for (const domain of ['a', 'b', 'c']) {
          expect(listMissing(after, domain)).toEqual([]);
        }
      }),
      { seed: 22, numRuns: 100 },
    );
  });

  it('get their layers in one plan each, while the others keep theirs', () => {
    for (const lost of listPairs()) {
      const { servers } = runRepair(committed, removeServers(placed, lost));
      const back = lost.map(server => ({ ...server, range: undefined }));
      const { orders } = runRepair(committed, [...servers, ...back]);
      const ids = lost.map(({ serverId }) => serverId).sort();
      expect([...(orders[0]?.keys() ?? [])].sort()).toEqual(ids);
      expect(orders.slice(1).every(plan => plan.size === 0)).toBe(true);
    }
  });
});

const domains = ['a', 'b', 'c'];

/** Counts the servers whose loss alone leaves their domain without a complete chain. */
const countSingleHolders = (servers: readonly StageServer[]): number =>
  servers.filter(
    server =>
      listMissing(removeServers(servers, [server]), server.failureDomain)
        .length > 0,
  ).length;

/** Computes the lowest KV cache capacity of a layer of the domain, in tokens. */
const computeMinCapacity = (
  servers: readonly StageServer[],
  domain: string,
): number => {
  const capacities = new Array<number>(model.layers).fill(0);
  for (const { failureDomain, kind, range } of servers) {
    const found = findAcceleratorKind(model, kind);
    if (failureDomain === domain && found && range) {
      const tokens = computeCacheCapacity(model, found, range);
      for (let layer = range.from; layer < range.to; layer += 1) {
        const held = range.to - range.from;
        capacities[layer] = (capacities[layer] ?? 0) + tokens / held;
      }
    }
  }
  return Math.min(...capacities);
};

/** Another mix of servers with memory for two replicas in each domain. */
const otherFleet = [
  ...createServers('a', { h100: 4, a100s: 5, l4: 5, t4: 5 }),
  ...createServers('b', { h100: 2, a100s: 4, l4: 10, t4: 5 }),
  ...createServers('c', { h100: 3, a100s: 2, l4: 7, t4: 8 }),
];

describe.each([
  ['a fleet like that of tenant screening', fleet],
  ['another fleet', otherFleet],
])('%s, before any loss', (_, servers) => {
  const before = placeUntilStable(new ReplicaPerDomain(), model, servers);
  const after = placeUntilStable(committed, model, servers);

  it('had servers whose loss alone broke the chains of their domain', () => {
    expect(countSingleHolders(before)).toBeGreaterThan(0);
  });

  it('has a second holder of each layer in each domain', () => {
    expect(countSingleHolders(after)).toBe(0);
  });

  it('has four holders of the first layers in each domain', () => {
    for (const domain of domains) {
      const first = after.filter(
        ({ failureDomain, range }) =>
          failureDomain === domain && range?.from === 0,
      );
      expect(first.length).toBeGreaterThanOrEqual(4);
    }
  });

  it('has no less capacity at its bottlenecks', () => {
    for (const domain of domains) {
      expect(computeMinCapacity(after, domain)).toBeGreaterThanOrEqual(
        computeMinCapacity(before, domain),
      );
    }
  });

  it('has complete chains in the other domains whichever two servers of one are lost', () => {
    for (const lost of after) {
      const own = after.filter(
        ({ failureDomain }) => failureDomain === lost.failureDomain,
      );
      for (const second of own) {
        const left = removeServers(after, [lost, second]);
        const whole = domains.filter(
          domain => listMissing(left, domain).length === 0,
        );
        expect(whole.length).toBeGreaterThanOrEqual(2);
      }
    }
  });
});

describe('second holders', () => {
  it('take no more than the memory of a server, and cost no first holder', () => {
    const counts = fc.record({
      h100: fc.nat(4),
      a100s: fc.nat(6),
      l4: fc.nat(8),
      t4: fc.nat(8),
    });
    fc.assert(
      fc.property(counts, counts, (a, b) => {
        const servers = [...createServers('a', a), ...createServers('b', b)];
        const before = placeUntilStable(new ReplicaPerDomain(), model, servers);
        const after = placeUntilStable(committed, model, servers);
        for (const { range, kind } of after) {
          const memory = findAcceleratorKind(model, kind)?.memoryMegabytes ?? 0;
          const layers = range ? range.to - range.from : 0;
          expect(layers * model.layerMegabytes).toBeLessThanOrEqual(memory);
          expect(range?.to ?? 0).toBeLessThanOrEqual(model.layers);
        }
        for (const domain of ['a', 'b']) {
          expect(listMissing(after, domain).length).toBeLessThanOrEqual(
            listMissing(before, domain).length,
          );
        }
      }),
      { seed: 23, numRuns: 60 },
    );
  });
});

/** Whether the server serves the layer now and keeps it, whatever the plan tells it. */
const isSteadyHolder = (
  { serverId, range, isBusy }: StageServer,
  plan: ReadonlyMap<string, LayerRange>,
  layer: number,
): boolean =>
  isBusy !== true &&
  [range, plan.get(serverId) ?? range].every(
    each => each !== undefined && each.from <= layer && layer < each.to,
  );

describe('a layer that one server serves and others still load', () => {
  it('stays at that server when all orders go out at once', () => {
    const losses = fc.array(fc.subarray(placed, { maxLength: 4 }), {
      minLength: 1,
      maxLength: 4,
    });
    fc.assert(
      fc.property(losses, rounds => {
        let servers = placed;
        for (const lost of rounds) {
          servers = removeServers(servers, lost);
          const plan = committed.planPlacement(model, servers);
          const dropped = Array.from(
            { length: model.layers },
            (_, layer) => layer,
          ).filter(
            layer =>
              servers.some(each => isSteadyHolder(each, new Map(), layer)) &&
              !servers.some(each => isSteadyHolder(each, plan, layer)),
          );
          expect(dropped).toEqual([]);
          servers = applyPlan(servers, plan, true);
        }
      }),
      { seed: 24, numRuns: 100 },
    );
  });
});
