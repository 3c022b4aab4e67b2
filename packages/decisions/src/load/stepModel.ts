/**
 * Learns the time of an engine's step from what it held.
 *
 * A least squares fit of `base + pass * decodes + prompt * promptTokens`, with
 * old steps fading out. It gives the rate with full batches even of an engine
 * that was never full, so that a server without work is not taken for slow.
 */
import type { Milliseconds } from '@lycheetally/common';

/** What one step held, and how long it took. */
export interface StepSample {
  readonly decodes: number;
  readonly promptTokens: number;
  readonly durationMs: Milliseconds;
}

const fade = 0.995;
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
        row[column] = value * fade + input * (inputs[column] ?? 0);
      });
      const target = this.targets[index] ?? 0;
      this.targets[index] = target * fade + input * sample.durationMs;
    }
    this.passes = this.passes * fade + sample.decodes + requests;
    this.requests = this.requests * fade + requests;
    this.promptTokens = this.promptTokens * fade + sample.promptTokens;
    this.weights = undefined;
  }

  get isTrained(): boolean {
    return this.passes >= minPasses;
  }

  /** Returns the milliseconds of a step with so many decode passes. */
  estimateStep(decodes: number, promptTokens = 0): Milliseconds {
    this.weights ??= computeSolution(this.products, this.targets);
    const [base, pass, prompt] = this.weights;
    return Math.max(
      0,
      base + pass * decodes + prompt * promptTokens * promptScale,
    );
  }

  /** Returns generated tokens a second with full batches of the mix seen so far. */
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

// Gaussian elimination; the ridge keeps the matrix regular.
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
