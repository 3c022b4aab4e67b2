/** KV cache capacity of each layer, summed over its holders. */
import type { LayerHolder } from './holders.js';
import {
  computeCacheCapacity,
  findAcceleratorKind,
  type LayerRange,
  type LayeredModel,
} from './types.js';

/** Computes the KV cache capacity that the holder has for each of its layers, in tokens. */
export const computeLayerCapacity = (
  model: LayeredModel,
  { server, range }: LayerHolder,
): number => {
  const kind = findAcceleratorKind(model, server.kind);
  return kind
    ? computeCacheCapacity(model, kind, range) / (range.to - range.from)
    : 0;
};

/** Tracks the holders and the KV cache capacity of each layer. */
export class LayerCapacities {
  private readonly capacities: number[];
  private readonly holderCounts: number[];

  constructor(
    private readonly model: LayeredModel,
    holders: readonly LayerHolder[],
  ) {
    this.capacities = new Array<number>(model.layers).fill(0);
    this.holderCounts = new Array<number>(model.layers).fill(0);
    for (const holder of holders) {
      this.add(holder);
    }
  }

  add(holder: LayerHolder): void {
    this.applyHolder(holder, 1);
  }

  remove(holder: LayerHolder): void {
    this.applyHolder(holder, -1);
  }

  countHolders(layer: number): number {
    return this.holderCounts[layer] ?? 0;
  }

  /** Counts the layers that no server holds. */
  countUncovered(): number {
    return this.holderCounts.filter(count => count === 0).length;
  }

  /** Returns the fewest holders that a layer of a range has. */
  findFewestHolders(range: LayerRange): number {
    return Math.min(...this.holderCounts.slice(range.from, range.to));
  }

  /** Returns the lowest capacity of the layers of a range, in tokens. */
  findMinimum(range: LayerRange): number {
    let lowest = Infinity;
    const to = Math.min(range.to, this.capacities.length);
    for (let layer = range.from; layer < to; layer += 1) {
      lowest = Math.min(lowest, this.capacities[layer] ?? 0);
    }
    return lowest;
  }

  /**
   * Lists the ranges of this size with the lowest minimum capacity, and of those
   * the ones with the lowest total, ordered by their first layer.
   */
  listBottlenecks(size: number): LayerRange[] {
    const ranges = Array.from(
      { length: this.capacities.length - size + 1 },
      (_, from) => ({ from, to: from + size }),
    );
    const lowest = filterMinima(ranges, range => this.findMinimum(range));
    return filterMinima(lowest, range => Math.round(this.computeTotal(range)));
  }

  private computeTotal({ from, to }: LayerRange): number {
    return this.capacities
      .slice(from, to)
      .reduce((sum, capacity) => sum + capacity, 0);
  }

  private applyHolder(holder: LayerHolder, sign: 1 | -1): void {
    const capacity = sign * computeLayerCapacity(this.model, holder);
    const { from, to } = holder.range;
    for (let layer = from; layer < to; layer += 1) {
      this.capacities[layer] = (this.capacities[layer] ?? 0) + capacity;
      this.holderCounts[layer] = (this.holderCounts[layer] ?? 0) + sign;
    }
  }
}

const filterMinima = (
  ranges: readonly LayerRange[],
  measure: (range: LayerRange) => number,
): LayerRange[] => {
  const values = ranges.map(measure);
  const least = Math.min(...values);
  return ranges.filter((_, at) => values[at] === least);
};
