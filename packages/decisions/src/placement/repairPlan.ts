/**
 * Reassigns servers from layers with many holders to layers with few.
 *
 * A server is reassigned only if its old layers stay better covered than its new
 * ones were, so that two repairs never undo each other.
 */
import { updateCoverage, findLeastCovered } from './coverage.js';
import { mayGiveUp, mayReassign, type LayerHolder } from './holders.js';
import type { LayerRange, StageServer } from './types.js';

const noLayers: LayerRange = { from: 0, to: 0 };

/** The most reassignments in a plan; the next plan sees their outcome. */
const maxReassignments = 6;

/**
 * The most holders that a layer may have to be repaired. Layers with more are
 * left alone, since a reassignment drains its server for seconds.
 */
const maxRepairedHolders = 1;

/** Holders that the layers of a reassigned server must have beyond those of the least covered layer. */
const minHolderSurplus = 2;

/** Adds reassignments to the plan; `holders` are all servers that hold layers. */
export const planRepair = (
  layers: number,
  servers: readonly StageServer[],
  holders: readonly LayerHolder[],
  plan: Map<string, LayerRange>,
): void => {
  const coverage = new Array<number>(layers).fill(0);
  for (const { range } of holders) {
    updateCoverage(coverage, range, 1);
  }
  for (let reassigned = 0; reassigned < maxReassignments; reassigned += 1) {
    const holder = findMostRedundant(coverage, servers, holders, plan);
    if (!holder) {
      return;
    }
    updateCoverage(coverage, holder.range, -1);
    const to = findLeastCovered(coverage, holder.range.to - holder.range.from);
    updateCoverage(coverage, to, 1);
    plan.set(holder.server.serverId, to);
  }
};

/** Finds the server whose layers have the most redundant holders. */
const findMostRedundant = (
  coverage: readonly number[],
  servers: readonly StageServer[],
  holders: readonly LayerHolder[],
  plan: ReadonlyMap<string, LayerRange>,
): LayerHolder | undefined => {
  const fewestHolders = Math.min(...coverage);
  if (fewestHolders > maxRepairedHolders) {
    return undefined;
  }
  const computeSurplus = ({ range }: LayerHolder): number =>
    Math.min(...coverage.slice(range.from, range.to)) - fewestHolders;
  return holders
    .filter(({ server }) => mayReassign(server, plan))
    .filter(holder => computeSurplus(holder) >= minHolderSurplus)
    .filter(holder => mayGiveUp(holder, noLayers, servers, plan))
    .sort(
      (a, b) =>
        computeSurplus(b) - computeSurplus(a) ||
        a.range.to - a.range.from - (b.range.to - b.range.from) ||
        (a.server.serverId < b.server.serverId ? -1 : 1),
    )[0];
};
