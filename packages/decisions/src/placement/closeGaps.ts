/**
 * Closes gaps in the model replica of a failure domain: layers that none of its
 * servers holds.
 *
 * A complete replica keeps activations off the links between domains. A
 * redundant holder of the domain is reassigned to the gap. If there is none,
 * the ranges next to the gap are extended, which drains no server.
 */
import { addCoverage } from './coverage.js';
import { mayMove, type Holder } from './holders.js';
import { findKind, type LayerRange, type LayeredModel } from './types.js';

/** The largest share of a server's memory that weights may take once its range is extended. */
const maxGrownShare = 0.75;

/** Adds changes to the plan; `coverage` counts the holders of each layer in the domain and is updated. */
export const closeGaps = (
  model: LayeredModel,
  holders: readonly Holder[],
  coverage: number[],
  plan: Map<string, LayerRange>,
): void => {
  for (let gap = findGap(coverage, 0); gap; gap = findGap(coverage, gap.to)) {
    const change =
      findSpare(holders, coverage, gap, plan) ??
      addToNeighbours(model, holders, gap, plan);
    for (const { holder, range } of change) {
      addCoverage(coverage, holder.range, -1);
      addCoverage(coverage, range, 1);
      plan.set(holder.server.serverId, range);
    }
  }
};

interface Change {
  readonly holder: Holder;
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

/** Finds the smallest holder that covers the gap and whose layers all have other holders. */
const findSpare = (
  holders: readonly Holder[],
  coverage: readonly number[],
  gap: LayerRange,
  plan: ReadonlyMap<string, LayerRange>,
): Change[] | undefined => {
  const needed = gap.to - gap.from;
  const spare = holders
    .filter(({ server }) => mayMove(server, plan))
    .filter(({ range }) => range.to - range.from >= needed)
    .filter(({ range }) =>
      coverage.slice(range.from, range.to).every(count => count > 1),
    )
    .sort((a, b) => a.range.to - a.range.from - (b.range.to - b.range.from))[0];
  if (!spare) {
    return undefined;
  }
  const size = spare.range.to - spare.range.from;
  const from = Math.min(gap.from, coverage.length - size);
  return [{ holder: spare, range: { from, to: from + size } }];
};

/** Splits the gap between the holders next to it, if their memory suffices. */
const addToNeighbours = (
  model: LayeredModel,
  holders: readonly Holder[],
  gap: LayerRange,
  plan: ReadonlyMap<string, LayerRange>,
): Change[] => {
  const free = holders.filter(({ server }) => mayMove(server, plan));
  const computeGrowth = ({ server, range }: Holder): number => {
    const memory = findKind(model, server.kind)?.memoryMegabytes ?? 0;
    const most = Math.floor((memory * maxGrownShare) / model.layerMegabytes);
    return Math.max(0, most - (range.to - range.from));
  };
  const findRoomiest = (
    isBeside: (range: LayerRange) => boolean,
  ): Holder | undefined =>
    free
      .filter(({ range }) => isBeside(range))
      .sort((a, b) => computeGrowth(b) - computeGrowth(a))[0];
  const before = findRoomiest(range => range.to === gap.from);
  const after = findRoomiest(range => range.from === gap.to);
  const needed = gap.to - gap.from;
  const growBefore = before ? computeGrowth(before) : 0;
  const growAfter = after ? computeGrowth(after) : 0;
  if (growBefore + growAfter < needed) {
    return [];
  }
  const half = Math.ceil(needed / 2);
  const taken = Math.min(growBefore, Math.max(half, needed - growAfter));
  const border = gap.from + taken;
  const changes: Change[] = [];
  if (before && border > gap.from) {
    const range = { from: before.range.from, to: border };
    changes.push({ holder: before, range });
  }
  if (after && border < gap.to) {
    const range = { from: border, to: after.range.to };
    changes.push({ holder: after, range });
  }
  return changes;
};
