/**
 * Checks the forward passes of a request through the layers of the model.
 *
 * The token at position p is computed from the hidden state of position p - 1.
 * It counts as correct if a single epoch of its request ran each position from
 * 0 to p - 1 through every layer exactly once, with the layers of a position in
 * order and the positions of a layer in order. An epoch that recomputes earlier
 * positions after a rebuild is checked on its own passes only.
 */
import type { PassRecord } from '../standIns/modelEngine.js';

/** Passes of one epoch, by position. */
type EpochPasses = ReadonlyMap<number, readonly PassRecord[]>;

/** Groups passes by epoch and position. */
export const indexPasses = (
  passes: readonly PassRecord[],
): ReadonlyMap<number, EpochPasses> => {
  const epochs = new Map<number, Map<number, PassRecord[]>>();
  for (const pass of passes) {
    const positions = epochs.get(pass.epoch) ?? new Map<number, PassRecord[]>();
    epochs.set(pass.epoch, positions);
    const list = positions.get(pass.position) ?? [];
    positions.set(pass.position, list);
    list.push(pass);
  }
  return epochs;
};

/** Finds a pass that repeats a layer for a position in the same epoch. */
export const findRepeatedPass = (
  passes: readonly PassRecord[],
): PassRecord | undefined => {
  const seen = new Set<string>();
  for (const pass of passes) {
    for (let layer = pass.layerFrom; layer < pass.layerTo; layer += 1) {
      const key = [pass.epoch, pass.position, layer].join('/');
      if (seen.has(key)) {
        return pass;
      }
      seen.add(key);
    }
  }
  return undefined;
};

/** Finds the first position below the bound that no single epoch computed correctly. */
export const findIncorrectPosition = (
  passes: readonly PassRecord[],
  bound: number,
  layers: number,
): number | undefined => {
  const counts = [...indexPasses(passes).values()].map(epoch =>
    countCorrectPositions(epoch, layers),
  );
  const longest = Math.max(0, ...counts);
  return longest >= bound ? undefined : longest;
};

/** Counts the consecutive positions from 0 that an epoch computed correctly. */
const countCorrectPositions = (epoch: EpochPasses, layers: number): number => {
  let position = 0;
  let earlier: readonly PassRecord[] = [];
  for (;;) {
    const list = sortByTime(epoch.get(position) ?? []);
    if (!hasEveryLayer(list, layers) || !isAfterPosition(list, earlier)) {
      return position;
    }
    earlier = list;
    position += 1;
  }
};

const sortByTime = (list: readonly PassRecord[]): readonly PassRecord[] =>
  [...list].sort((a, b) => a.at - b.at || a.layerFrom - b.layerFrom);

const hasEveryLayer = (
  list: readonly PassRecord[],
  layers: number,
): boolean => {
  let layer = 0;
  for (const pass of list) {
    if (pass.layerFrom !== layer) {
      return false;
    }
    layer = pass.layerTo;
  }
  return layer === layers;
};

const isAfterPosition = (
  list: readonly PassRecord[],
  earlier: readonly PassRecord[],
): boolean =>
  earlier.every(
    (pass, index) =>
      list[index]?.layerFrom === pass.layerFrom && list[index].at >= pass.at,
  );
