/**
 * Corrects how slow servers are taken to be, by the pauses of streams.
 *
 * A pause tells of all servers of a chain together. Each is corrected by its share of the
 * predicted pause, so that the chains of many calls, which differ, single out the slow
 * server (normalized least mean squares).
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  maxPauseRatio,
  maxStepTimeRatio,
  minStepTimeRatio,
  paceCorrection,
} from './constants.js';

/** A server of the chain. */
export interface PacedStage {
  /** Time per token as expected of its kind of accelerator. */
  readonly expectedMs: Milliseconds;
  /** Ratio of its step time to the expected one, as known so far. */
  readonly ratio: number;
}

/** Returns the corrected ratios; `tokenMs` is the observed time per token without the hops. */
export const updateRatios = (
  stages: readonly PacedStage[],
  tokenMs: Milliseconds,
): readonly number[] => {
  const sum = (get: (stage: PacedStage) => number): number =>
    stages.reduce((total, stage) => total + get(stage), 0);
  const predicted = sum(({ expectedMs, ratio }) => expectedMs * ratio);
  const bounded = Math.min(tokenMs, predicted * maxPauseRatio);
  const squares = sum(({ expectedMs }) => expectedMs * expectedMs);
  const factor = ((bounded - predicted) * paceCorrection) / squares;
  return stages.map(({ expectedMs, ratio }) =>
    squares > 0
      ? Math.min(
          maxStepTimeRatio,
          Math.max(minStepTimeRatio, ratio + factor * expectedMs),
        )
      : ratio,
  );
};
