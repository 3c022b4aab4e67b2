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
import type { ServerSpec } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';
import type { VirtualTime } from './virtualTime.js';

/** A piece of work in the queue of a fake agent. */
export interface AgentWork extends WaitingWork {
  /** Starts the work with its priority in the engine; 0 goes first. */
  grantSlot(priority: number, now: Milliseconds): void;
}

/** Above 1, because a sequence keeps its slot while other stages of its chain compute. */
const slotsPerBatchPosition = 8;
const passTimeSmoothing = 0.05;

export class FakeServer {
  readonly engine: FakeEngine;
  readonly slots: number;
  running = 0;
  /** Sent in place of the true report, to simulate a server that reports a wrong load. */
  falseReport: LoadReport | undefined;
  private readonly order: WorkOrder<AgentWork>;
  private readonly queueBound: QueueBound;
  private readonly queueDelay: QueueDelayModel;
  private readonly stepModel = new StepModel();
  private passMs: Milliseconds = 0;

  constructor(
    readonly spec: ServerSpec,
    time: VirtualTime,
    policies: PolicySet,
    ranks: readonly RankRule[],
  ) {
    const layers = spec.layerTo - spec.layerFrom;
    this.engine = new FakeEngine(time, spec.kind, layers, step => {
      this.observeStep(step);
    });
    this.slots = spec.kind.maxBatch * slotsPerBatchPosition;
    this.order = policies.createWorkOrder<AgentWork>(ranks, this.slots);
    this.queueBound = policies.createQueueBound(ranks);
    this.queueDelay = new QueueDelayModel(ranks.map(rank => rank.floor));
  }

  get waitingCount(): number {
    return this.order.size;
  }

  enqueue(work: AgentWork, now: Milliseconds): Result<true> {
    const decision = this.queueBound.decideEnqueue(work, this.queueDelay, now);
    if (decision.ok) {
      this.order.add(work);
      this.queueDelay.noteEnqueued(work);
      this.grantSlots(now);
    }
    return decision;
  }

  /** Removes work from the queue; returns whether it was queued. */
  removeQueued(work: AgentWork): boolean {
    const wasQueued = this.order.remove(work);
    if (wasQueued) {
      this.queueDelay.noteRemoved(work);
    }
    return wasQueued;
  }

  /** Frees the slot of ended work and tells the work order its true cost. */
  releaseSlot(
    work: AgentWork,
    cost: number,
    runMs: Milliseconds,
    now: Milliseconds,
  ): void {
    this.running -= 1;
    this.order.finish(work, cost, runMs);
    this.grantSlots(now);
  }

  /** Drops the queue and all running work. */
  fail(): void {
    this.engine.fail();
    for (const work of [...this.order.list()]) {
      this.removeQueued(work);
    }
    this.running = 0;
  }

  /** Updates the number of sequences whose route includes this server. */
  updateSequenceCount(urgency: number, change: 1 | -1): void {
    this.queueDelay.countSequence(urgency, change);
  }

  buildReport(now: Milliseconds): LoadReport {
    return (
      this.falseReport ?? {
        running: this.running,
        slots: this.slots,
        capacity: this.stepModel.estimateCapacity(this.spec.kind.maxBatch),
        passMs: this.passMs,
        ranks: this.queueDelay.listLoads(now),
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
      this.queueDelay.noteStarted(work, now);
      work.grantSlot(this.order.computePriority(work), now);
    }
  }

  private observeStep(step: EngineStep): void {
    const weight = this.passMs > 0 ? passTimeSmoothing : 1;
    this.passMs += (step.durationMs - this.passMs) * weight;
    this.stepModel.observe(
      {
        decodes: step.batchSize - step.promptPasses,
        promptTokens: step.promptTokens,
        durationMs: step.durationMs,
      },
      step.promptPasses,
    );
  }
}
