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
  readonly baseMs: Milliseconds;
  /** Milliseconds per decode pass and layer. */
  readonly passMs: Milliseconds;
  /** Milliseconds per prompt token and layer. */
  readonly promptMs: Milliseconds;
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
  readonly batch: number;
  /** Passes of the batch that process a prompt. */
  readonly prompts: number;
  readonly promptTokens: number;
  readonly durationMs: Milliseconds;
}

/** Decode passes do not count. A larger prompt is taken only as the first of a step. */
const maxPromptTokensPerStep = 512;

export class FakeEngine {
  /** Factor on the duration of every step; above 1 simulates a slow engine (grey failure). */
  slowness = 1;
  isDown = false;
  steps = 0;
  private waiting: EnginePass[] = [];
  private isStepping = false;

  constructor(
    private readonly time: VirtualTime,
    readonly kind: AcceleratorKind,
    readonly layers: number,
    private readonly observeStep: (step: EngineStep, now: Milliseconds) => void,
  ) {}

  get depth(): number {
    return this.waiting.length;
  }

  addPass(pass: EnginePass): void {
    if (this.isDown) {
      return;
    }
    this.waiting.push(pass);
    this.startStep();
  }

  /** Stops the engine and drops all waiting passes, as when its VM fails. */
  fail(): void {
    this.isDown = true;
    this.waiting = [];
  }

  /** Restarts the engine after a failure, without the passes from before. */
  reset(): void {
    this.isDown = false;
    this.isStepping = false;
  }

  private startStep(): void {
    if (this.isStepping || this.waiting.length === 0) {
      return;
    }
    const batch = this.takeBatch();
    if (batch.length === 0) {
      return;
    }
    this.isStepping = true;
    const step = this.measureStep(batch);
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
    this.isStepping = false;
    this.steps += 1;
    this.observeStep(step, now);
    for (const pass of batch) {
      pass.finishPass(now);
    }
    this.startStep();
  }

  private takeBatch(): EnginePass[] {
    const live = this.waiting.filter(pass => !pass.isCancelled());
    live.sort((a, b) => a.priority - b.priority);
    const batch: EnginePass[] = [];
    const left: EnginePass[] = [];
    let prompt = 0;
    for (const pass of live) {
      const fits =
        batch.length < this.kind.maxBatch &&
        (prompt === 0 || prompt + pass.promptTokens <= maxPromptTokensPerStep);
      (fits ? batch : left).push(pass);
      prompt += fits ? pass.promptTokens : 0;
    }
    this.waiting = left;
    return batch;
  }

  private measureStep(batch: readonly EnginePass[]): EngineStep {
    const { baseMs, passMs, promptMs } = this.kind;
    const promptTokens = batch.reduce(
      (sum, pass) => sum + pass.promptTokens,
      0,
    );
    const prompts = batch.filter(pass => pass.promptTokens > 0).length;
    const decodes = batch.length - prompts;
    const perLayer = baseMs + passMs * decodes + promptMs * promptTokens;
    const durationMs = perLayer * this.layers * this.slowness;
    return { batch: batch.length, prompts, promptTokens, durationMs };
  }
}
