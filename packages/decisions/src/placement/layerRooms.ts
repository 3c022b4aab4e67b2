/** KV cache capacity of each layer, summed over its holders. */
import type { Holder } from './holders.js';
import {
  computeLayerTokens,
  findKind,
  type LayerRange,
  type LayeredModel,
} from './types.js';

/** Computes the KV cache capacity that the holder has for each of its layers, in tokens. */
export const computeRoom = (
  model: LayeredModel,
  { server, range }: Holder,
): number => {
  const kind = findKind(model, server.kind);
  return kind
    ? computeLayerTokens(model, kind, range) / (range.to - range.from)
    : 0;
};

/** Tracks the holders and the KV cache capacity of each layer. */
export class LayerRooms {
  private readonly rooms: number[];
  private readonly counts: number[];

  constructor(
    private readonly model: LayeredModel,
    holders: readonly Holder[],
  ) {
    this.rooms = new Array<number>(model.layers).fill(0);
    this.counts = new Array<number>(model.layers).fill(0);
    for (const holder of holders) {
      this.add(holder);
    }
  }

  add(holder: Holder): void {
    this.applyHolder(holder, 1);
  }

  remove(holder: Holder): void {
    this.applyHolder(holder, -1);
  }

  countHolders(layer: number): number {
    return this.counts[layer] ?? 0;
  }

  /** Counts the layers that no server holds. */
  countMissing(): number {
    return this.counts.filter(count => count === 0).length;
  }

  /** Returns the lowest capacity of the layers of a range, in tokens. */
  findLeast(range: LayerRange): number {
    return Math.min(...this.rooms.slice(range.from, range.to));
  }

  /**
   * Lists the ranges of this size with the lowest minimum capacity, and of those
   * the ones with the lowest total, ordered by their first layer.
   */
  listNarrowest(size: number): LayerRange[] {
    const ranges = Array.from(
      { length: this.rooms.length - size + 1 },
      (_, from) => ({ from, to: from + size }),
    );
    const narrow = takeLeast(ranges, range => this.findLeast(range));
    return takeLeast(narrow, range => Math.round(this.computeSum(range)));
  }

  private computeSum({ from, to }: LayerRange): number {
    return this.rooms.slice(from, to).reduce((sum, room) => sum + room, 0);
  }

  private applyHolder(holder: Holder, sign: 1 | -1): void {
    const room = sign * computeRoom(this.model, holder);
    const { from, to } = holder.range;
    for (let layer = from; layer < to; layer += 1) {
      this.rooms[layer] = (this.rooms[layer] ?? 0) + room;
      this.counts[layer] = (this.counts[layer] ?? 0) + sign;
    }
  }
}

const takeLeast = (
  ranges: readonly LayerRange[],
  measure: (range: LayerRange) => number,
): LayerRange[] => {
  const values = ranges.map(measure);
  const least = Math.min(...values);
  return ranges.filter((_, at) => values[at] === least);
};
