/**
 * Closes gaps in the model replica of a failure domain: layers that none of its
 * servers holds.
 *
 * A complete replica keeps activations off the links between domains. A
 * redundant holder of the domain is reassigned to the gap. If there is none,
 * the ranges next to the gap are extended, which drains no server.
 */
import { updateCoverage } from './coverage.js';
import { mayGiveUp, mayReassign, type LayerHolder } from './holders.js';
import {
  findAcceleratorKind,
  type LayerRange,
  type LayeredModel,
  type StageServer,
} from './types.js';

/** The largest share of a server's memory that weights may take once its range is extended. */
const maxExtendedShare = 0.75;

/** Adds changes to the plan; `coverage` counts the holders of each layer in the domain and is updated. */
export const closeGaps = (
  model: LayeredModel,
  servers: readonly StageServer[],
  holders: readonly LayerHolder[],
  coverage: number[],
  plan: Map<string, LayerRange>,
): void => {
  for (let gap = findGap(coverage, 0); gap; gap = findGap(coverage, gap.to)) {
    const changes =
      findRedundantHolder(servers, holders, coverage, gap, plan) ??
      addToNeighbours(model, holders, gap, plan);
    for (const { holder, range } of changes) {
      updateCoverage(coverage, holder.range, -1);
      updateCoverage(coverage, range, 1);
      plan.set(holder.server.serverId, range);
    }
  }
};

interface RangeChange {
  readonly holder: LayerHolder;
  readonly range: LayerRange;
}

const findGap = (
  coverage: readonly number[],
  from: number,
): LayerRange | undefined => {
  const start = coverage.findIndex((count, at) => at >= from && count === 0);
  if (start < 0) {
    return undefined;
  }
  const end = coverage.findIndex((count, at) => at > start && count > 0);
  return { from: start, to: end < 0 ? coverage.length : end };
};

/** Finds the smallest holder with a range at least as large as the gap, all of whose layers have other holders. */
const findRedundantHolder = (
  servers: readonly StageServer[],
  holders: readonly LayerHolder[],
  coverage: readonly number[],
  gap: LayerRange,
  plan: ReadonlyMap<string, LayerRange>,
): RangeChange[] | undefined => {
  const needed = gap.to - gap.from;
  const smallest = holders
    .filter(({ server }) => mayReassign(server, plan))
    .filter(({ range }) => range.to - range.from >= needed)
    .filter(({ range }) =>
      coverage.slice(range.from, range.to).every(count => count > 1),
    )
    .filter(holder => mayGiveUp(holder, gap, servers, plan))
    .sort((a, b) => a.range.to - a.range.from - (b.range.to - b.range.from))[0];
  if (!smallest) {
    return undefined;
  }
  const size = smallest.range.to - smallest.range.from;
  const from = Math.min(gap.from, coverage.length - size);
  return [{ holder: smallest, range: { from, to: from + size } }];
};

/** Splits the gap between the holders next to it, if their memory suffices. */
const addToNeighbours = (
  model: LayeredModel,
  holders: readonly LayerHolder[],
  gap: LayerRange,
  plan: ReadonlyMap<string, LayerRange>,
): RangeChange[] => {
  const reassignable = holders.filter(({ server }) =>
    mayReassign(server, plan),
  );
  const computeSpareLayers = ({ server, range }: LayerHolder): number => {
    const memory =
      findAcceleratorKind(model, server.kind)?.memoryMegabytes ?? 0;
    const maxLayers = Math.floor(
      (memory * maxExtendedShare) / model.layerMegabytes,
    );
    return Math.max(0, maxLayers - (range.to - range.from));
  };
  const findMostSpare = (
    isAdjacent: (range: LayerRange) => boolean,
  ): LayerHolder | undefined =>
    reassignable
      .filter(({ range }) => isAdjacent(range))
      .sort((a, b) => computeSpareLayers(b) - computeSpareLayers(a))[0];
  const before = findMostSpare(range => range.to === gap.from);
  const after = findMostSpare(range => range.from === gap.to);
  const needed = gap.to - gap.from;
  const spareBefore = before ? computeSpareLayers(before) : 0;
  const spareAfter = after ? computeSpareLayers(after) : 0;
  if (spareBefore + spareAfter < needed) {
    return [];
  }
  const half = Math.ceil(needed / 2);
  const takenBefore = Math.min(
    spareBefore,
    Math.max(half, needed - spareAfter),
  );
  const boundary = gap.from + takenBefore;
  const changes: RangeChange[] = [];
  if (before && boundary > gap.from) {
    const range = { from: before.range.from, to: boundary };
    changes.push({ holder: before, range });
  }
  if (after && boundary < gap.to) {
    const range = { from: boundary, to: after.range.to };
    changes.push({ holder: after, range });
  }
  return changes;
};
