/**
 * Gives each layer of a failure domain a second holder where the domain has memory for
 * two replicas, so that the loss of one server leaves the domain a complete chain.
 *
 * Ranges are chosen for equal KV cache capacity, which leaves some layers with one holder
 * and others with three. Only servers that hold nothing yet are moved or extended: they
 * load their range anyway, so a better one costs nothing.
 */
import {
  maxCapacityLoss,
  maxExtraLayers,
  maxSpareMoves,
  minCapacityGain,
  wantedCopies,
} from './constants.js';
import { LayerCapacities } from './layerCapacities.js';
import type { LayerHolder } from './holders.js';
import type { LayerRange, LayeredModel, StageServer } from './types.js';

/** A failure domain whose empty servers were just assigned layers. */
export interface SpareGroup {
  readonly model: LayeredModel;
  /** All servers of the group that hold layers or are assigned some. */
  readonly holders: readonly LayerHolder[];
  /** Number of replicas that the group has memory for. */
  readonly replicas: number;
  readonly getLayerCount: (server: StageServer) => number;
  /** The most layers that the server's memory takes beside some KV cache. */
  readonly getMaxLayers: (server: StageServer) => number;
}

/** Strategy that changes the ranges of servers that hold nothing yet. */
export abstract class SpareRule {
  abstract updateRanges(group: SpareGroup, plan: Map<string, LayerRange>): void;
}

export class NoSpares extends SpareRule {
  override updateRanges(): void {
    // Ranges stay as they were chosen for equal capacity.
  }
}

interface Score {
  /** Second holders that are missing, over all layers. */
  readonly missing: number;
  /** How far copies beyond the second would have to move to where one is missing, in layers. */
  readonly distance: number;
  /** The lowest capacity of a layer, in tokens. */
  readonly capacity: number;
}

interface Move {
  readonly holder: LayerHolder;
  readonly range: LayerRange;
  readonly score: Score;
}

export class SecondHolders extends SpareRule {
  override updateRanges(
    group: SpareGroup,
    plan: Map<string, LayerRange>,
  ): void {
    if (group.replicas < wantedCopies) {
      return;
    }
    const capacities = new LayerCapacities(group.model, group.holders);
    // The first layers keep their holders, which the placement counts by their slots.
    const movable = new Set(
      group.holders.filter(
        ({ server, range }) => !server.range && range.from > 0,
      ),
    );
    let score = measure(group.model, capacities);
    const minCapacity = score.capacity * (1 - maxCapacityLoss);
    for (let moves = 0; moves < maxSpareMoves; moves += 1) {
      const best = findBestMove(group, movable, capacities, score, minCapacity);
      if (!best) {
        return;
      }
      const { holder, range } = best;
      const moved = { server: holder.server, range };
      capacities.remove(holder);
      capacities.add(moved);
      movable.delete(holder);
      movable.add(moved);
      plan.set(holder.server.serverId, range);
      ({ score } = best);
    }
  }
}

const findBestMove = (
  group: SpareGroup,
  movable: ReadonlySet<LayerHolder>,
  capacities: LayerCapacities,
  score: Score,
  minCapacity: number,
): Move | undefined => {
  let best: Move | undefined;
  for (const holder of movable) {
    capacities.remove(holder);
    for (const range of listRanges(group, holder)) {
      const moved = { server: holder.server, range };
      capacities.add(moved);
      const next = measure(group.model, capacities);
      capacities.remove(moved);
      if (
        next.capacity >= minCapacity &&
        isBetter(next, best?.score ?? score)
      ) {
        best = { holder, range, score: next };
      }
    }
    capacities.add(holder);
  }
  return best;
};

/** Lists the ranges that the server could take instead: of its share, or a few layers more. */
const listRanges = (
  { model, getLayerCount, getMaxLayers }: SpareGroup,
  { server }: LayerHolder,
): LayerRange[] => {
  const size = getLayerCount(server);
  const largest = Math.min(size + maxExtraLayers, getMaxLayers(server));
  const sizes = Array.from(
    { length: Math.max(0, largest - size) + 1 },
    (_, extra) => size + extra,
  );
  return sizes.flatMap(each =>
    Array.from({ length: Math.max(0, model.layers - each) }, (_, at) => ({
      from: at + 1,
      to: at + 1 + each,
    })),
  );
};

const measure = (
  { layers }: LayeredModel,
  capacities: LayerCapacities,
): Score => {
  let missing = 0;
  let distance = 0;
  let surplus = 0;
  let isPastFirstLayers = false;
  for (let layer = 0; layer < layers; layer += 1) {
    const excess = capacities.countHolders(layer) - wantedCopies;
    missing += Math.max(0, -excess);
    // Copies of the first layers stay where they are.
    isPastFirstLayers ||= excess <= 0;
    surplus += isPastFirstLayers ? excess : 0;
    distance += Math.abs(surplus);
  }
  const all = { from: 0, to: layers };
  return { missing, distance, capacity: capacities.findMinimum(all) };
};

const isBetter = (a: Score, b: Score): boolean => {
  if (a.missing !== b.missing) {
    return a.missing < b.missing;
  }
  return a.missing > 0
    ? a.distance < b.distance
    : a.capacity > b.capacity * (1 + minCapacityGain);
};
