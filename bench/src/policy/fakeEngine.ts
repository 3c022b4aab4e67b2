/**
 * A fake model engine in virtual time.
 *
 * It computes one step at a time over the waiting passes, the most urgent
 * first, up to its batch limit. A step takes a base time, a time for each
 * decode pass and a time for each prompt token.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { VirtualTime } from './virtualTime.js';

/** Speed of one kind of accelerator for one layer. */
export interface AcceleratorKind {
  readonly name: string;
  /** Milliseconds of a step for each layer, whatever its batch. */
  readonly baseMs: Milliseconds;
  /** Milliseconds for each layer and decode pass. */
  readonly passMs: Milliseconds;
  /** Milliseconds for each layer and prompt token. */
  readonly promptMs: Milliseconds;
  /** Passes that one step may hold. */
  readonly maxBatch: number;
}

/** One pass of a sequence through the layers of an engine. */
export interface EnginePass {
  /** 0 goes first. */
  readonly priority: number;
  /** Prompt tokens of the first pass; 0 for a decode pass. */
  readonly promptTokens: number;
  isCancelled(): boolean;
  finishPass(now: Milliseconds): void;
}

/** What an engine did in one step. */
export interface EngineStep {
  readonly batch: number;
  /** Passes of the batch that were prompts. */
  readonly prompts: number;
  readonly promptTokens: number;
  readonly durationMs: Milliseconds;
}

/** Prompt tokens that one step may hold beside its decode passes. */
const maxPromptTokensPerStep = 512;

export class FakeEngine {
  /** Factor on every step; above 1 for a slow (grey) engine. */
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

  /** Loses all passes, as a failed VM does. */
  fail(): void {
    this.isDown = true;
    this.waiting = [];
  }

  /** Comes back with nothing in its memory. */
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
