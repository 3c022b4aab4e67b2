/**
 * Decides which backend server holds which layers.
 *
 * A server that holds layers keeps them; a plan only fills empty servers, so
 * that nothing is loaded twice for the sake of a nicer layout.
 */
import {
  findKind,
  type LayerRange,
  type LayeredModel,
  type StageServer,
} from './types.js';

/** Layers for servers that hold none, by server id. */
export type PlacementPlan = ReadonlyMap<string, LayerRange>;

/** A rule that places the layers of a model. */
export abstract class PlacementPolicy {
  abstract planPlacement(
    model: LayeredModel,
    servers: readonly StageServer[],
  ): PlacementPlan;
}

/** The largest share of a group's memory that weights may take. */
const maxWeightShare = 0.62;

/** The largest share of one server's memory that weights may take. */
const maxServerShare = 0.9;

/**
 * Places one copy of the model in each failure domain that has the memory for
 * it, each server taking layers in proportion to its memory, so that requests
 * find the same room at each stage. Domains that are too small share a copy.
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
    return plan;
  }
}

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
  const sizes = computeSizes(model, group);
  const coverage = new Array<number>(model.layers).fill(0);
  const addCoverage = (range: LayerRange): void => {
    for (let layer = range.from; layer < range.to; layer += 1) {
      coverage[layer] = (coverage[layer] ?? 0) + 1;
    }
  };
  for (const server of group) {
    if (server.range) {
      addCoverage(server.range);
    }
  }
  for (const server of sortBySize(model, group)) {
    const size = sizes.get(server.serverId) ?? 0;
    if (server.range ?? size === 0) {
      continue;
    }
    const range = findThinnest(coverage, size);
    plan.set(server.serverId, range);
    addCoverage(range);
  }
};

/** Large servers come first, so that the first stage has the most room. */
const sortBySize = (
  model: LayeredModel,
  group: readonly StageServer[],
): StageServer[] =>
  [...group].sort(
    (a, b) =>
      getMemory(model, b) - getMemory(model, a) ||
      (a.serverId < b.serverId ? -1 : 1),
  );

/** Layers for each server: in proportion to memory, and enough for a whole copy. */
const computeSizes = (
  model: LayeredModel,
  group: readonly StageServer[],
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
  addLayers(model, group, sizes, most);
  return sizes;
};

const addLayers = (
  model: LayeredModel,
  group: readonly StageServer[],
  sizes: Map<string, number>,
  most: (server: StageServer) => number,
): void => {
  const getSize = (server: StageServer): number =>
    sizes.get(server.serverId) ?? 0;
  const sum = (): number => [...sizes.values()].reduce((a, b) => a + b, 0);
  while (sum() < model.layers) {
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

/** Finds the range of this size whose layers are held by the fewest servers. */
const findThinnest = (
  coverage: readonly number[],
  size: number,
): LayerRange => {
  let best = { from: 0, to: size };
  let bestKey = [Infinity, Infinity];
  for (let from = 0; from + size <= coverage.length; from += 1) {
    const held = coverage.slice(from, from + size);
    const key = [
      Math.min(...held),
      held.reduce((sum, count) => sum + count, 0),
    ];
    if (isLess(key, bestKey)) {
      best = { from, to: from + size };
      bestKey = key;
    }
  }
  return best;
};

const isLess = (a: readonly number[], b: readonly number[]): boolean => {
  const index = a.findIndex((value, at) => value !== b[at]);
  return index >= 0 && (a[index] ?? 0) < (b[index] ?? 0);
};
