/**
 * Predicts the duration of an engine step from the contents of its batch.
 *
 * The model is a least squares fit of `base + pass * decodes + prompt *
 * promptTokens` in which older steps have exponentially less weight. It predicts
 * the throughput with full batches even for an engine that never had one, so
 * that an idle server is not mistaken for a slow one.
 */
import type { Milliseconds } from '@lycheetally/common';

/** Batch contents and duration of one step. */
export interface StepSample {
  readonly decodes: number;
  readonly promptTokens: number;
  readonly durationMs: Milliseconds;
}

const decay = 0.995;
const ridge = 1e-3;
const promptScale = 0.01;
const millisecondsPerSecond = 1_000;

type Row = [number, number, number];

export class StepModel {
  private readonly products: [Row, Row, Row] = [
    [ridge, 0, 0],
    [0, ridge, 0],
    [0, 0, ridge],
  ];
  private readonly targets: Row = [0, 0, 0];
  private weights: Row | undefined;
  private passes = 0;
  private requests = 0;
  private promptTokens = 0;

  observe(sample: StepSample, requests: number): void {
    const inputs: Row = [1, sample.decodes, sample.promptTokens * promptScale];
    for (const [index, row] of this.products.entries()) {
      const input = inputs[index] ?? 0;
      row.forEach((value, column) => {
        row[column] = value * decay + input * (inputs[column] ?? 0);
      });
      const target = this.targets[index] ?? 0;
      this.targets[index] = target * decay + input * sample.durationMs;
    }
    this.passes = this.passes * decay + sample.decodes + requests;
    this.requests = this.requests * decay + requests;
    this.promptTokens = this.promptTokens * decay + sample.promptTokens;
    this.weights = undefined;
  }

  get isTrained(): boolean {
    return this.passes >= minPasses;
  }

  /** Returns the predicted duration of a step, in milliseconds. */
  estimateStep(decodes: number, promptTokens = 0): Milliseconds {
    this.weights ??= computeSolution(this.products, this.targets);
    const [base, pass, prompt] = this.weights;
    return Math.max(
      0,
      base + pass * decodes + prompt * promptTokens * promptScale,
    );
  }

  /**
   * Returns the generated tokens per second with full batches, given the recent
   * mix of prompt and decode work; 0 until the model is trained.
   */
  estimateCapacity(maxBatch: number): number {
    if (!this.isTrained) {
      return 0;
    }
    const promptPerPass = this.promptTokens / this.passes;
    const decodesPerPass = 1 - this.requests / this.passes;
    const stepMs = this.estimateStep(
      maxBatch * decodesPerPass,
      maxBatch * promptPerPass,
    );
    return stepMs > 0 ? (maxBatch / stepMs) * millisecondsPerSecond : 0;
  }
}

const minPasses = 20;

// Gauss-Jordan elimination; the ridge keeps the matrix invertible.
const computeSolution = (products: readonly Row[], targets: Row): Row => {
  const rows = products.map((row, index) => [...row, targets[index] ?? 0]);
  for (let pivot = 0; pivot < rows.length; pivot += 1) {
    const pivotRow = rows[pivot] ?? [];
    const scale = pivotRow[pivot] ?? 1;
    for (const [index, row] of rows.entries()) {
      if (index === pivot) {
        continue;
      }
      const factor = (row[pivot] ?? 0) / scale;
      row.forEach((value, column) => {
        row[column] = value - factor * (pivotRow[column] ?? 0);
      });
    }
  }
  const solved = rows.map((row, index) => (row[3] ?? 0) / (row[index] ?? 1));
  return [solved[0] ?? 0, solved[1] ?? 0, solved[2] ?? 0];
};
