/**
 * Moves servers from layers that many hold to layers that few hold.
 *
 * A server moves only when its own layers stay better covered than the ones it
 * goes to, so that two repairs never undo each other.
 */
import { addCoverage, findThinnest } from './coverage.js';
import { mayMove, type Holder } from './holders.js';
import type { LayerRange } from './types.js';

/** Moves of one plan; the next plan sees what became of them. */
const maxMoves = 6;

/** Layers with more holders than this are left as they are; a move drains its server for seconds. */
const enoughHolders = 1;

/** Holders that a layer must have more than the thinnest one for its server to move. */
const spareHolders = 2;

/** Adds moves to the plan; `holders` are all servers with their layers. */
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

/** Finds the server whose layers have the most holders beside it. */
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
