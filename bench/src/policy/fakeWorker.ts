/**
 * A backend server in virtual time: a fake engine and the agent in front of it.
 *
 * The agent queues work in the order of the policies under test and grants
 * slots to sequences whose route begins at this server (at layer 0).
 */
import type { Milliseconds, Result } from '@lycheetally/common';
import {
  QueueDelayModel,
  StepModel,
  type LoadReport,
  type QueueBound,
  type RankRule,
  type WaitingWork,
  type WorkOrder,
} from '@lycheetally/decisions';
import { FakeEngine, type EngineStep } from './fakeEngine.js';
import type { WorkerPlan } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';
import type { VirtualTime } from './virtualTime.js';

/** A piece of work in the queue of a fake agent. */
export interface AgentWork extends WaitingWork {
  /** Starts the work with its priority in the engine; 0 goes first. */
  grantSlot(priority: number, now: Milliseconds): void;
}

/** Above 1, because a sequence keeps its slot while other stages of its chain compute. */
const slotsPerBatchPlace = 8;
const stepFade = 0.05;

export class FakeWorker {
  readonly engine: FakeEngine;
  readonly slots: number;
  running = 0;
  /** Sent in place of the true report, to simulate a server that reports a wrong load. */
  lie: LoadReport | undefined;
  private readonly order: WorkOrder<AgentWork>;
  private readonly bound: QueueBound;
  private readonly queue: QueueDelayModel;
  private readonly steps = new StepModel();
  private passMs: Milliseconds = 0;

  constructor(
    readonly plan: WorkerPlan,
    time: VirtualTime,
    rules: PolicySet,
    ranks: readonly RankRule[],
  ) {
    const layers = plan.layerTo - plan.layerFrom;
    this.engine = new FakeEngine(time, plan.kind, layers, step => {
      this.observeStep(step);
    });
    this.slots = plan.kind.maxBatch * slotsPerBatchPlace;
    this.order = rules.createOrder<AgentWork>(ranks, this.slots);
    this.bound = rules.createBound(ranks);
    this.queue = new QueueDelayModel(ranks.map(rank => rank.floor));
  }

  get waiting(): number {
    return this.order.size;
  }

  enqueue(work: AgentWork, now: Milliseconds): Result<true> {
    const decided = this.bound.decideEnqueue(work, this.queue, now);
    if (decided.ok) {
      this.order.add(work);
      this.queue.noteEnqueued(work);
      this.grantSlots(now);
    }
    return decided;
  }

  /** Removes work from the queue; returns whether it was queued. */
  withdraw(work: AgentWork): boolean {
    const waited = this.order.remove(work);
    if (waited) {
      this.queue.noteRemoved(work);
    }
    return waited;
  }

  /** Frees the slot of ended work and tells the work order its true cost. */
  release(
    work: AgentWork,
    cost: number,
    runMs: Milliseconds,
    now: Milliseconds,
  ): void {
    this.running -= 1;
    this.order.settle(work, cost, runMs);
    this.grantSlots(now);
  }

  /** Drops the queue and all running work. */
  fail(): void {
    this.engine.fail();
    for (const work of [...this.order.list()]) {
      this.withdraw(work);
    }
    this.running = 0;
  }

  /** Updates the number of sequences whose route includes this server. */
  countSequence(urgency: number, change: 1 | -1): void {
    this.queue.countSequence(urgency, change);
  }

  buildReport(now: Milliseconds): LoadReport {
    return (
      this.lie ?? {
        running: this.running,
        slots: this.slots,
        capacity: this.steps.estimateCapacity(this.plan.kind.maxBatch),
        passMs: this.passMs,
        ranks: this.queue.listLoads(now),
      }
    );
  }

  private grantSlots(now: Milliseconds): void {
    while (this.running < this.slots && !this.engine.isDown) {
      const work = this.order.takeNext(now);
      if (!work) {
        return;
      }
      this.running += 1;
      this.queue.noteStarted(work, now);
      work.grantSlot(this.order.computePriority(work), now);
    }
  }

  private observeStep(step: EngineStep): void {
    const fade = this.passMs > 0 ? stepFade : 1;
    this.passMs += (step.durationMs - this.passMs) * fade;
    this.steps.observe(
      {
        decodes: step.batch - step.prompts,
        promptTokens: step.promptTokens,
        durationMs: step.durationMs,
      },
      step.prompts,
    );
  }
}
