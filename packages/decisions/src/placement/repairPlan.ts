/**
 * Reassigns servers from layers with many holders to layers with few.
 *
 * A server is reassigned only if its old layers stay better covered than its new
 * ones were, so that two repairs never undo each other.
 */
import { addCoverage, findThinnest } from './coverage.js';
import { mayMove, type Holder } from './holders.js';
import type { LayerRange } from './types.js';

/** The most reassignments in a plan; the next plan sees their outcome. */
const maxMoves = 6;

/**
 * The most holders that a layer may have to be repaired. Layers with more are
 * left alone, since a reassignment drains its server for seconds.
 */
const enoughHolders = 1;

/** Holders that the layers of a reassigned server must have beyond those of the least covered layer. */
const spareHolders = 2;

/** Adds reassignments to the plan; `holders` are all servers that hold layers. */
export const planRepair = (
  layers: number,
  holders: readonly Holder[],
  plan: Map<string, LayerRange>,
): void => {
  const coverage = new Array<number>(layers).fill(0);
  for (const { range } of holders) {
    addCoverage(coverage, range, 1);
  }
  for (let moves = 0; moves < maxMoves; moves += 1) {
    const mover = findMover(coverage, holders, plan);
    if (!mover) {
      return;
    }
    addCoverage(coverage, mover.range, -1);
    const to = findThinnest(coverage, mover.range.to - mover.range.from);
    addCoverage(coverage, to, 1);
    plan.set(mover.server.serverId, to);
  }
};

/** Finds the server whose layers have the most redundant holders. */
const findMover = (
  coverage: readonly number[],
  holders: readonly Holder[],
  plan: ReadonlyMap<string, LayerRange>,
): Holder | undefined => {
  const thinnest = Math.min(...coverage);
  if (thinnest > enoughHolders) {
    return undefined;
  }
  const computeSpare = ({ range }: Holder): number =>
    Math.min(...coverage.slice(range.from, range.to)) - thinnest;
  return holders
    .filter(({ server }) => mayMove(server, plan))
    .filter(holder => computeSpare(holder) >= spareHolders)
    .sort(
      (a, b) =>
        computeSpare(b) - computeSpare(a) ||
        a.range.to - a.range.from - (b.range.to - b.range.from) ||
        (a.server.serverId < b.server.serverId ? -1 : 1),
    )[0];
};
