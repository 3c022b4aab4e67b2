/**
 * Shrinks ranges that were extended to close a gap, once other servers hold the
 * released layers.
 *
 * A server with more layers than its share has little KV cache left, which makes
 * its layers the bottleneck of the whole replica.
 */
import { LayerCapacities, computeLayerCapacity } from './layerCapacities.js';
import { mayGiveUp, mayReassign, type LayerHolder } from './holders.js';
import type { LayerRange, LayeredModel, StageServer } from './types.js';

/** Plans the release of layers by the oversized server with the least KV cache per layer. */
export const releaseLayers = (
  model: LayeredModel,
  servers: readonly StageServer[],
  holders: readonly LayerHolder[],
  getLayerCount: (server: StageServer) => number,
  plan: Map<string, LayerRange>,
): void => {
  const capacities = new LayerCapacities(model, holders);
  const [bottleneck] = holders
    .filter(({ server }) => mayReassign(server, plan))
    .filter(
      ({ server, range }) => range.to - range.from > getLayerCount(server),
    )
    .sort(
      (a, b) => computeLayerCapacity(model, a) - computeLayerCapacity(model, b),
    );
  const kept =
    bottleneck &&
    findKeptRange(
      model,
      capacities,
      bottleneck,
      getLayerCount(bottleneck.server),
    );
  if (kept && mayGiveUp(bottleneck, kept, servers, plan)) {
    plan.set(bottleneck.server.serverId, kept);
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
