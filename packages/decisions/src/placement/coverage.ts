/** Counts the holders of each layer. */
import type { LayerRange } from './types.js';

/** Adds or removes one holder of the range. */
export const updateCoverage = (
  coverage: number[],
  range: LayerRange,
  change: 1 | -1,
): void => {
  for (let layer = range.from; layer < range.to; layer += 1) {
    coverage[layer] = (coverage[layer] ?? 0) + change;
  }
};

/**
 * Finds the range of this size that contains the layer with the fewest holders;
 * the range with the fewest holders in total among several.
 */
export const findLeastCovered = (
  coverage: readonly number[],
  size: number,
): LayerRange => {
  let best = { from: 0, to: size };
  let bestKey = [Infinity, Infinity];
  for (let from = 0; from + size <= coverage.length; from += 1) {
    const counts = coverage.slice(from, from + size);
    const key = [
      Math.min(...counts),
      counts.reduce((sum, count) => sum + count, 0),
    ];
    if (isLess(key, bestKey)) {
      best = { from, to: from + size };
      bestKey = key;
    }
  }
  return best;
};

/** Compares two keys lexicographically. */
const isLess = (a: readonly number[], b: readonly number[]): boolean => {
  const index = a.findIndex((value, at) => value !== b[at]);
  return index >= 0 && (a[index] ?? 0) < (b[index] ?? 0);
};
