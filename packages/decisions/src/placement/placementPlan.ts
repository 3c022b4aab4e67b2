/**
 * Decides which backend server holds which layers.
 *
 * A server that holds layers keeps them, so that few weights are loaded again;
 * it is reassigned only to layers that have too few holders.
 */
import { updateCoverage } from './coverage.js';
import { closeGaps } from './closeGaps.js';
import { LayerCapacities } from './layerCapacities.js';
import {
  ReleaseBySize,
  chooseReleasingRange,
  releaseLayers,
  type ReleaseRule,
} from './releaseLayers.js';
import { mayReassign, type LayerHolder } from './holders.js';
import { planRepair } from './repairPlan.js';
import { NoSpares, type SpareRule } from './spareCopies.js';
import {
  findAcceleratorKind,
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
const minFirstLayerHolders = 2;

/** Number of servers in a group for each holder of the first layers. */
const serversPerFirstLayerHolder = 4;

/** The largest share of one server's memory that weights may take for a spare copy. */
const maxSpareShare = 0.75;

/** The largest share of one server's memory that weights may take. */
const maxServerShare = 0.9;

/** The parts of placement that vary. */
export interface PlacementRules {
  readonly releaseRule: ReleaseRule;
  readonly spareRule: SpareRule;
}

/**
 * Places one replica of the model in each failure domain with enough memory, and
 * one across all domains that are too small. Each server takes layers in
 * proportion to its memory, so that every stage has the same KV cache capacity.
 */
export class ReplicaPerDomain
  extends PlacementPolicy
  implements PlacementRules
{
  constructor(
    readonly releaseRule: ReleaseRule = new ReleaseBySize(),
    readonly spareRule: SpareRule = new NoSpares(),
  ) {
    super();
  }

  override planPlacement(
    model: LayeredModel,
    servers: readonly StageServer[],
  ): PlacementPlan {
    const plan = new Map<string, LayerRange>();
    for (const group of listGroups(model, servers)) {
      planGroup(model, servers, group, this, plan);
    }
    const holders = listHolders(servers, plan);
    if (holders.length > 0) {
      planRepair(model.layers, servers, holders, plan);
    }
    return plan;
  }
}

/** Counts the layers that take at most this share of the server's memory. */
const countMaxLayers = (
  model: LayeredModel,
  server: StageServer,
  share: number,
): number =>
  Math.min(
    model.layers,
    Math.floor((getMemory(model, server) * share) / model.layerMegabytes),
  );

/** Lists servers with the layers that they have under the plan. */
const listHolders = (
  servers: readonly StageServer[],
  plan: PlacementPlan,
): LayerHolder[] =>
  servers.flatMap(server => {
    const range = plan.get(server.serverId) ?? server.range;
    return range ? [{ server, range }] : [];
  });

const getMemory = (model: LayeredModel, server: StageServer): number =>
  findAcceleratorKind(model, server.kind)?.memoryMegabytes ?? 0;

const computeMemory = (
  model: LayeredModel,
  servers: readonly StageServer[],
): number => servers.reduce((sum, server) => sum + getMemory(model, server), 0);

/** Groups the servers by failure domain; all domains too small for a replica form one group. */
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

/** Plans for one group; `servers` are those of all groups. */
const planGroup = (
  model: LayeredModel,
  servers: readonly StageServer[],
  group: readonly StageServer[],
  rules: PlacementRules,
  plan: Map<string, LayerRange>,
): void => {
  const firstLayerHolders = countFirstLayerHolders(group);
  const layerCounts = computeLayerCounts(model, group, firstLayerHolders);
  const getLayerCount = (server: StageServer): number =>
    layerCounts.get(server.serverId) ?? 0;
  placeEmptyServers(model, group, getLayerCount, firstLayerHolders, plan);
  rules.spareRule.updateRanges(
    {
      model,
      holders: listHolders(group, plan),
      replicas: countReplicas(model, group),
      getLayerCount,
      getMaxLayers: server => countMaxLayers(model, server, maxSpareShare),
    },
    plan,
  );
  const coverage = new Array<number>(model.layers).fill(0);
  for (const { range } of listHolders(group, plan)) {
    updateCoverage(coverage, range, 1);
  }
  closeGaps(model, servers, listHolders(group, plan), coverage, plan);
  releaseLayers(
    model,
    servers,
    listHolders(group, plan),
    getLayerCount,
    countReplicas(model, group),
    rules.releaseRule,
    plan,
  );
};

const countFirstLayerHolders = (group: readonly StageServer[]): number =>
  Math.max(
    minFirstLayerHolders,
    Math.floor(group.length / serversPerFirstLayerHolder),
  );

/** Assigns the layers with the least KV cache capacity to servers that hold none. */
const placeEmptyServers = (
  model: LayeredModel,
  group: readonly StageServer[],
  getLayerCount: (server: StageServer) => number,
  firstLayerHolders: number,
  plan: Map<string, LayerRange>,
): void => {
  const holders = listHolders(group, plan);
  const capacities = new LayerCapacities(model, holders);
  const empty = sortByMemory(model, group).filter(
    server =>
      !server.range && mayReassign(server, plan) && getLayerCount(server) > 0,
  );
  let unplacedLayers = empty.reduce(
    (sum, server) => sum + getLayerCount(server),
    0,
  );
  for (const server of empty) {
    const size = getLayerCount(server);
    unplacedLayers -= size;
    const currentHolders = capacities.countHolders(0);
    const isEnoughLeft = unplacedLayers >= capacities.countUncovered();
    const takesFirstLayers =
      currentHolders === 0 ||
      (currentHolders < firstLayerHolders && isEnoughLeft);
    const firstLayers = { from: 0, to: size };
    const range = takesFirstLayers
      ? firstLayers
      : (chooseReleasingRange(
          capacities.listBottlenecks(size),
          holders,
          getLayerCount,
        ) ?? firstLayers);
    plan.set(server.serverId, range);
    capacities.add({ server, range });
    holders.push({ server, range });
  }
};

/**
 * Sorts servers by memory, smallest first: several small servers then hold the
 * first layers, and the loss of one is repaired quickly.
 */
const sortByMemory = (
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
const computeLayerCounts = (
  model: LayeredModel,
  group: readonly StageServer[],
  firstLayerHolders: number,
): Map<string, number> => {
  const replicas = countReplicas(model, group);
  const share = Math.min(
    maxServerShare,
    (replicas * model.layers * model.layerMegabytes) /
      computeMemory(model, group),
  );
  const getMaxLayers = (server: StageServer): number =>
    countMaxLayers(model, server, maxServerShare);
  const layerCounts = new Map<string, number>();
  for (const server of group) {
    const wanted = (share * getMemory(model, server)) / model.layerMegabytes;
    const layers = Math.max(1, Math.round(wanted));
    layerCounts.set(server.serverId, Math.min(getMaxLayers(server), layers));
  }
  const wantedLayers = replicas * model.layers;
  const first = { holders: firstLayerHolders, replicas };
  addLayers(model, group, layerCounts, getMaxLayers, wantedLayers, first);
  return layerCounts;
};

/**
 * Counts the replicas that a group has memory for. With a single one, the loss of
 * any server of a large group would break all streams that run there.
 */
const countReplicas = (
  model: LayeredModel,
  group: readonly StageServer[],
): number => {
  const weights = model.layers * model.layerMegabytes;
  const memory = computeMemory(model, group) * maxWeightShare;
  return Math.max(1, Math.floor(memory / weights));
};

/** Servers that hold the first layers; one in each replica counts, and the others are in addition. */
interface FirstLayers {
  readonly holders: number;
  readonly replicas: number;
}

const addLayers = (
  model: LayeredModel,
  group: readonly StageServer[],
  layerCounts: Map<string, number>,
  getMaxLayers: (server: StageServer) => number,
  wantedLayers: number,
  first: FirstLayers,
): void => {
  const getLayerCount = (server: StageServer): number =>
    layerCounts.get(server.serverId) ?? 0;
  const firstServers = sortByMemory(model, group).slice(0, first.holders);
  // These servers all hold the first layers, so only the largest ranges count.
  const countDistinct = (): number => {
    const duplicates = firstServers
      .map(getLayerCount)
      .sort((a, b) => b - a)
      .slice(first.replicas);
    const all = [...layerCounts.values()].reduce((a, b) => a + b, 0);
    return all - duplicates.reduce((a, b) => a + b, 0);
  };
  while (countDistinct() < wantedLayers) {
    const leastFilled = group
      .filter(server => getLayerCount(server) < getMaxLayers(server))
      .sort(
        (a, b) =>
          getLayerCount(a) / getMemory(model, a) -
          getLayerCount(b) / getMemory(model, b),
      )[0];
    if (!leastFilled) {
      return;
    }
    layerCounts.set(leastFilled.serverId, getLayerCount(leastFilled) + 1);
  }
};
