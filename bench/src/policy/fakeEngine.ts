/**
 * A fake model engine in virtual time.
 *
 * It runs one step at a time. Each step takes a batch of the waiting passes,
 * lowest priority number first, up to the batch limits. Its duration is a base
 * time, plus a time per decode pass and a time per prompt token.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { VirtualTime } from './virtualTime.js';

/** Batch limit of one kind of accelerator, and its speed per layer. */
export interface AcceleratorKind {
  readonly name: string;
  /** Milliseconds per step and layer, independent of the batch. */
  readonly stepBaseMs: Milliseconds;
  /** Milliseconds per decode pass and layer. */
  readonly decodePassMs: Milliseconds;
  /** Milliseconds per prompt token and layer. */
  readonly promptTokenMs: Milliseconds;
  /** The most passes in one step. */
  readonly maxBatch: number;
}

/** One forward pass of a sequence through the layers of an engine. */
export interface EnginePass {
  /** 0 goes first. */
  readonly priority: number;
  /** Prompt tokens of the first pass; 0 for a decode pass. */
  readonly promptTokens: number;
  isCancelled(): boolean;
  finishPass(now: Milliseconds): void;
}

/** Size and duration of one step of an engine. */
export interface EngineStep {
  readonly batchSize: number;
  /** Passes of the batch that process a prompt. */
  readonly promptPasses: number;
  readonly promptTokens: number;
  readonly durationMs: Milliseconds;
}

/** Decode passes do not count. A larger prompt is taken only as the first of a step. */
const maxPromptTokensPerStep = 512;

export class FakeEngine {
  /** Factor on the duration of every step; above 1 simulates a slow engine (grey failure). */
  stepTimeFactor = 1;
  isDown = false;
  completedSteps = 0;
  private waitingPasses: EnginePass[] = [];
  private isRunningStep = false;

  constructor(
    private readonly time: VirtualTime,
    readonly kind: AcceleratorKind,
    readonly layers: number,
    private readonly observeStep: (step: EngineStep, now: Milliseconds) => void,
  ) {}

  get waitingCount(): number {
    return this.waitingPasses.length;
  }

  addPass(pass: EnginePass): void {
    if (this.isDown) {
      return;
    }
    this.waitingPasses.push(pass);
    this.startStep();
  }

  /** Stops the engine and drops all waiting passes, as when its VM fails. */
  fail(): void {
    this.isDown = true;
    this.waitingPasses = [];
  }

  /** Restarts the engine after a failure, without the passes from before. */
  reset(): void {
    this.isDown = false;
    this.isRunningStep = false;
  }

  private startStep(): void {
    if (this.isRunningStep || this.waitingPasses.length === 0) {
      return;
    }
    const batch = this.takeBatch();
    if (batch.length === 0) {
      return;
    }
    this.isRunningStep = true;
    const step = this.computeStep(batch);
    this.time.schedule(step.durationMs, now => {
      this.finishStep(batch, step, now);
    });
  }

  private finishStep(
    batch: readonly EnginePass[],
    step: EngineStep,
    now: Milliseconds,
  ): void {
    if (this.isDown) {
      return;
    }
    this.isRunningStep = false;
    this.completedSteps += 1;
    this.observeStep(step, now);
    for (const pass of batch) {
      pass.finishPass(now);
    }
    this.startStep();
  }

  private takeBatch(): EnginePass[] {
    const active = this.waitingPasses.filter(pass => !pass.isCancelled());
    active.sort((a, b) => a.priority - b.priority);
    const batch: EnginePass[] = [];
    const remaining: EnginePass[] = [];
    let promptTokens = 0;
    for (const pass of active) {
      const fits =
        batch.length < this.kind.maxBatch &&
        (promptTokens === 0 ||
          promptTokens + pass.promptTokens <= maxPromptTokensPerStep);
      (fits ? batch : remaining).push(pass);
      promptTokens += fits ? pass.promptTokens : 0;
    }
    this.waitingPasses = remaining;
    return batch;
  }

  private computeStep(batch: readonly EnginePass[]): EngineStep {
    const { stepBaseMs, decodePassMs, promptTokenMs } = this.kind;
    const promptTokens = batch.reduce(
      (sum, pass) => sum + pass.promptTokens,
      0,
    );
    const promptPasses = batch.filter(pass => pass.promptTokens > 0).length;
    const decodePasses = batch.length - promptPasses;
    const perLayer =
      stepBaseMs + decodePassMs * decodePasses + promptTokenMs * promptTokens;
    const durationMs = perLayer * this.layers * this.stepTimeFactor;
    return {
      batchSize: batch.length,
      promptPasses,
      promptTokens,
      durationMs,
    };
  }
}
