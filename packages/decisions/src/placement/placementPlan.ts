/**
 * Decides which backend server holds which layers.
 *
 * A server that holds layers keeps them, so that few weights are loaded again;
 * it is reassigned only to layers that have too few holders.
 */
import { addCoverage } from './coverage.js';
import { closeGaps } from './closeGaps.js';
import { LayerRooms } from './layerRooms.js';
import { chooseReleasing, releaseLayers } from './releaseLayers.js';
import { mayMove, type Holder } from './holders.js';
import { planRepair } from './repairPlan.js';
import {
  findKind,
  type LayerRange,
  type LayeredModel,
  type StageServer,
} from './types.js';

/** New layer ranges by server id, for servers without layers and for reassigned ones. */
export type PlacementPlan = ReadonlyMap<string, LayerRange>;

/** Strategy that assigns the layers of a model to servers. */
export abstract class PlacementPolicy {
  abstract planPlacement(
    model: LayeredModel,
    servers: readonly StageServer[],
  ): PlacementPlan;
}

/** The largest share of a group's memory that weights may take. */
const maxWeightShare = 0.62;

/** The fewest servers of a group that hold the first layers, since the first server of a chain has few slots. */
const minFirstHolders = 2;

/** Number of servers in a group for each holder of the first layers. */
const serversPerFirstHolder = 4;

/** The largest share of one server's memory that weights may take. */
const maxServerShare = 0.9;

/**
 * Places one replica of the model in each failure domain with enough memory, and
 * one across all domains that are too small. Each server takes layers in
 * proportion to its memory, so that every stage has the same KV cache capacity.
 */
export class CopyPerDomain extends PlacementPolicy {
  override planPlacement(
    model: LayeredModel,
    servers: readonly StageServer[],
  ): PlacementPlan {
    const plan = new Map<string, LayerRange>();
    for (const group of listGroups(model, servers)) {
      planGroup(model, group, plan);
    }
    const holders = listHolders(servers, plan);
    if (holders.length > 0) {
      planRepair(model.layers, holders, plan);
    }
    return plan;
  }
}

/** Lists servers with the layers that they have under the plan. */
const listHolders = (
  servers: readonly StageServer[],
  plan: PlacementPlan,
): Holder[] =>
  servers.flatMap(server => {
    const range = plan.get(server.serverId) ?? server.range;
    return range ? [{ server, range }] : [];
  });

const getMemory = (model: LayeredModel, server: StageServer): number =>
  findKind(model, server.kind)?.memoryMegabytes ?? 0;

const computeMemory = (
  model: LayeredModel,
  servers: readonly StageServer[],
): number => servers.reduce((sum, server) => sum + getMemory(model, server), 0);

const listGroups = (
  model: LayeredModel,
  servers: readonly StageServer[],
): StageServer[][] => {
  const domains = new Map<string, StageServer[]>();
  for (const server of servers) {
    const list = domains.get(server.failureDomain) ?? [];
    domains.set(server.failureDomain, [...list, server]);
  }
  const weights = model.layers * model.layerMegabytes;
  const isLarge = (group: readonly StageServer[]): boolean =>
    computeMemory(model, group) * maxWeightShare >= weights;
  const groups = [...domains.values()];
  const small = groups.filter(group => !isLarge(group)).flat();
  const large = groups.filter(isLarge);
  return small.length > 0 ? [...large, small] : large;
};

const planGroup = (
  model: LayeredModel,
  group: readonly StageServer[],
  plan: Map<string, LayerRange>,
): void => {
  const firstHolders = countFirstHolders(group);
  const sizes = computeSizes(model, group, firstHolders);
  const getSize = (server: StageServer): number =>
    sizes.get(server.serverId) ?? 0;
  placeEmpty(model, group, getSize, firstHolders, plan);
  const coverage = new Array<number>(model.layers).fill(0);
  for (const { range } of listHolders(group, plan)) {
    addCoverage(coverage, range, 1);
  }
  closeGaps(model, listHolders(group, plan), coverage, plan);
  releaseLayers(model, listHolders(group, plan), getSize, plan);
};

const countFirstHolders = (group: readonly StageServer[]): number =>
  Math.max(minFirstHolders, Math.floor(group.length / serversPerFirstHolder));

/** Assigns the layers with the least KV cache capacity to servers that hold none. */
const placeEmpty = (
  model: LayeredModel,
  group: readonly StageServer[],
  getSize: (server: StageServer) => number,
  firstHolders: number,
  plan: Map<string, LayerRange>,
): void => {
  const holders = listHolders(group, plan);
  const rooms = new LayerRooms(model, holders);
  const empty = sortBySize(model, group).filter(
    server => !server.range && mayMove(server, plan) && getSize(server) > 0,
  );
  let left = empty.reduce((sum, server) => sum + getSize(server), 0);
  for (const server of empty) {
    const size = getSize(server);
    left -= size;
    const held = rooms.countHolders(0);
    const isSpare = left >= rooms.countMissing();
    const isFirst = held === 0 || (held < firstHolders && isSpare);
    const start = { from: 0, to: size };
    const range = isFirst
      ? start
      : (chooseReleasing(rooms.listNarrowest(size), holders, getSize) ?? start);
    plan.set(server.serverId, range);
    rooms.add({ server, range });
    holders.push({ server, range });
  }
};

/**
 * Sorts servers by memory, smallest first: several small servers then hold the
 * first layers, and the loss of one is repaired quickly.
 */
const sortBySize = (
  model: LayeredModel,
  group: readonly StageServer[],
): StageServer[] =>
  [...group].sort(
    (a, b) =>
      getMemory(model, a) - getMemory(model, b) ||
      (a.serverId < b.serverId ? -1 : 1),
  );

/**
 * Computes how many layers each server takes: in proportion to its memory, and
 * enough in total for a complete replica.
 */
const computeSizes = (
  model: LayeredModel,
  group: readonly StageServer[],
  firstHolders: number,
): Map<string, number> => {
  const share = Math.min(
    maxServerShare,
    (model.layers * model.layerMegabytes) / computeMemory(model, group),
  );
  const most = (server: StageServer): number =>
    Math.min(
      model.layers,
      Math.floor(
        (getMemory(model, server) * maxServerShare) / model.layerMegabytes,
      ),
    );
  const sizes = new Map<string, number>();
  for (const server of group) {
    const wanted = (share * getMemory(model, server)) / model.layerMegabytes;
    const size = Math.max(1, Math.round(wanted));
    sizes.set(server.serverId, Math.min(most(server), size));
  }
  addLayers(model, group, sizes, most, firstHolders);
  return sizes;
};

const addLayers = (
  model: LayeredModel,
  group: readonly StageServer[],
  sizes: Map<string, number>,
  most: (server: StageServer) => number,
  firstHolders: number,
): void => {
  const getSize = (server: StageServer): number =>
    sizes.get(server.serverId) ?? 0;
  const firsts = sortBySize(model, group).slice(0, firstHolders);
  // These servers all hold the first layers, so only the largest range counts.
  const countDistinct = (): number => {
    const firstSizes = firsts.map(getSize);
    const all = [...sizes.values()].reduce((a, b) => a + b, 0);
    const same =
      firstSizes.reduce((a, b) => a + b, 0) - Math.max(...firstSizes);
    return all - same;
  };
  while (countDistinct() < model.layers) {
    const roomiest = group
      .filter(server => getSize(server) < most(server))
      .sort(
        (a, b) =>
          getSize(a) / getMemory(model, a) - getSize(b) / getMemory(model, b),
      )[0];
    if (!roomiest) {
      return;
    }
    sizes.set(roomiest.serverId, getSize(roomiest) + 1);
  }
};
