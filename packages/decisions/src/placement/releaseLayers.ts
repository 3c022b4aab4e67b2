/**
 * Shrinks ranges that were extended to close a gap, once other servers hold the
 * released layers.
 *
 * A server with more layers than its share has little KV cache left, which makes
 * its layers the bottleneck of the whole replica.
 */
import { LayerRooms, computeRoom } from './layerRooms.js';
import { mayMove, type Holder } from './holders.js';
import type { LayerRange, LayeredModel, StageServer } from './types.js';

/** Plans the release of layers by the oversized server with the least KV cache per layer. */
export const releaseLayers = (
  model: LayeredModel,
  holders: readonly Holder[],
  getSize: (server: StageServer) => number,
  plan: Map<string, LayerRange>,
): void => {
  const rooms = new LayerRooms(model, holders);
  const [tightest] = holders
    .filter(({ server }) => mayMove(server, plan))
    .filter(({ server, range }) => range.to - range.from > getSize(server))
    .sort((a, b) => computeRoom(model, a) - computeRoom(model, b));
  const kept =
    tightest && findKept(model, rooms, tightest, getSize(tightest.server));
  if (kept) {
    plan.set(tightest.server.serverId, kept);
  }
};

/**
 * Finds the layers to keep, such that each released layer has at least the
 * holder's own capacity on other servers.
 */
const findKept = (
  model: LayeredModel,
  rooms: LayerRooms,
  holder: Holder,
  size: number,
): LayerRange | undefined => {
  const { from, to } = holder.range;
  const own = computeRoom(model, holder);
  rooms.remove(holder);
  const choices = [
    { kept: { from: to - size, to }, given: { from, to: to - size } },
    { kept: { from, to: from + size }, given: { from: from + size, to } },
  ];
  return choices.find(({ given }) => rooms.findLeast(given) >= own)?.kept;
};

/** Chooses the range whose new holder lets others release the most layers; the first of several. */
export const chooseReleasing = (
  ranges: readonly LayerRange[],
  holders: readonly Holder[],
  getSize: (server: StageServer) => number,
): LayerRange | undefined => {
  const counts = ranges.map(range =>
    holders.reduce(
      (sum, holder) => sum + countReleased(range, holder, getSize),
      0,
    ),
  );
  return ranges[counts.indexOf(Math.max(...counts))];
};

/** Counts the layers at one end of the holder's range that it may release to a holder of `range`. */
const countReleased = (
  range: LayerRange,
  { server, range: held }: Holder,
  getSize: (server: StageServer) => number,
): number => {
  const excess = held.to - held.from - getSize(server);
  const atStart = range.from <= held.from ? range.to - held.from : 0;
  const atEnd = range.to >= held.to ? held.to - range.from : 0;
  return Math.max(0, Math.min(excess, Math.max(atStart, atEnd)));
};
