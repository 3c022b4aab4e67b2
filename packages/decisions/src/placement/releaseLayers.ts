/**
 * Shrinks ranges that were extended to close a gap, once other servers hold the
 * released layers.
 *
 * A server with more layers than its share has little KV cache left, which makes
 * its layers the bottleneck of the whole replica.
 */
import { bottleneckMargin, minReleaseGain, wantedCopies } from './constants.js';
import { LayerCapacities, computeLayerCapacity } from './layerCapacities.js';
import { mayGiveUp, mayReassign, type LayerHolder } from './holders.js';
import type { LayerRange, LayeredModel, StageServer } from './types.js';

/** The release of layers by one server of a group. */
export interface LayerRelease {
  readonly model: LayeredModel;
  /** All servers of the group that hold layers. */
  readonly holders: readonly LayerHolder[];
  readonly holder: LayerHolder;
  readonly kept: LayerRange;
  /** Number of replicas that the group has memory for. */
  readonly replicas: number;
}

/** Strategy that decides whether an oversized server releases layers. */
export abstract class ReleaseRule {
  /** How many oversized servers are considered, those with the least KV cache per layer first. */
  abstract readonly maxCandidates: number;
  abstract mayRelease(release: LayerRelease): boolean;
}

/** Lets the server with the least KV cache per layer release all that exceeds its share. */
export class ReleaseBySize extends ReleaseRule {
  override readonly maxCandidates = 1;

  override mayRelease(): boolean {
    return true;
  }
}

/**
 * Lets a server release layers if that widens a bottleneck of its group. The loss of a
 * server may lower the number of replicas that a group has memory for, and with it the
 * share of every server; without this rule each of them would then release layers, one
 * after the other, and lose copies that the group still has memory for.
 */
export class ReleaseForCapacity extends ReleaseRule {
  override readonly maxCandidates = Infinity;

  override mayRelease(release: LayerRelease): boolean {
    const { model, holders, holder, kept, replicas } = release;
    if (holders.some(({ server }) => server.isLoading === true)) {
      return false;
    }
    const capacities = new LayerCapacities(model, holders);
    const before = capacities.findMinimum(holder.range);
    const lowest = capacities.findMinimum({ from: 0, to: model.layers });
    capacities.remove(holder);
    capacities.add({ server: holder.server, range: kept });
    const after = capacities.findMinimum(holder.range);
    const copies = Math.min(replicas, wantedCopies);
    return (
      capacities.findFewestHolders(holder.range) >= copies &&
      before <= lowest * (1 + bottleneckMargin) &&
      after >= before * (1 + minReleaseGain)
    );
  }
}

/** Plans the release of layers by an oversized server, those with the least KV cache per layer first. */
export const releaseLayers = (
  model: LayeredModel,
  servers: readonly StageServer[],
  holders: readonly LayerHolder[],
  getLayerCount: (server: StageServer) => number,
  replicas: number,
  rule: ReleaseRule,
  plan: Map<string, LayerRange>,
): void => {
  const oversized = holders
    .filter(({ server }) => mayReassign(server, plan))
    .filter(
      ({ server, range }) => range.to - range.from > getLayerCount(server),
    )
    .sort(
      (a, b) => computeLayerCapacity(model, a) - computeLayerCapacity(model, b),
    );
  for (const holder of oversized.slice(0, rule.maxCandidates)) {
    const capacities = new LayerCapacities(model, holders);
    const size = getLayerCount(holder.server);
    const kept = findKeptRange(model, capacities, holder, size);
    if (
      kept &&
      mayGiveUp(holder, kept, servers, plan) &&
      rule.mayRelease({ model, holders, holder, kept, replicas })
    ) {
      plan.set(holder.server.serverId, kept);
      return;
    }
  }
};

/**
 * Finds the layers to keep, such that each released layer has at least the
 * holder's own capacity on other servers.
 */
const findKeptRange = (
  model: LayeredModel,
  capacities: LayerCapacities,
  holder: LayerHolder,
  size: number,
): LayerRange | undefined => {
  const { from, to } = holder.range;
  const ownCapacity = computeLayerCapacity(model, holder);
  capacities.remove(holder);
  const options = [
    { kept: { from: to - size, to }, released: { from, to: to - size } },
    { kept: { from, to: from + size }, released: { from: from + size, to } },
  ];
  return options.find(
    ({ released }) => capacities.findMinimum(released) >= ownCapacity,
  )?.kept;
};

/** Chooses the range whose new holder lets others release the most layers; the first of several. */
export const chooseReleasingRange = (
  ranges: readonly LayerRange[],
  holders: readonly LayerHolder[],
  getLayerCount: (server: StageServer) => number,
): LayerRange | undefined => {
  const counts = ranges.map(range =>
    holders.reduce(
      (sum, holder) => sum + countReleasable(range, holder, getLayerCount),
      0,
    ),
  );
  return ranges[counts.indexOf(Math.max(...counts))];
};

/** Counts the layers at one end of the holder's range that it may release to a holder of `range`. */
const countReleasable = (
  range: LayerRange,
  { server, range: held }: LayerHolder,
  getLayerCount: (server: StageServer) => number,
): number => {
  const excess = held.to - held.from - getLayerCount(server);
  const atStart = range.from <= held.from ? range.to - held.from : 0;
  const atEnd = range.to >= held.to ? held.to - range.from : 0;
  return Math.max(0, Math.min(excess, Math.max(atStart, atEnd)));
};
