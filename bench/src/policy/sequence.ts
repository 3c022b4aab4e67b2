/** One simulated attempt: a sequence that passes through the stages of its route. */
import type { Milliseconds, TypedError } from '@lycheetally/common';
import {
  computeTokenCost,
  type AttemptEnd,
  type AttemptFacts,
  type RequestView,
  type Route,
} from '@lycheetally/decisions';
import type { EnginePass } from './fakeEngine.js';
import { getLink } from './fakeFleet.js';
import type { FakeLinks } from './fakeLinks.js';
import type { AgentWork, FakeServer } from './fakeServer.js';
import type { RequestRecord, RunMetrics } from './runMetrics.js';
import type { VirtualTime } from './virtualTime.js';

export interface SequenceContext {
  readonly time: VirtualTime;
  readonly links: FakeLinks;
  readonly metrics: RunMetrics;
  getServer(serverId: string): FakeServer | undefined;
  handleStarted(
    sequence: Sequence,
    waitedMs: Milliseconds,
    now: Milliseconds,
  ): void;
  handleEnded(sequence: Sequence, end: AttemptEnd, now: Milliseconds): void;
}

export class Sequence implements EnginePass, AgentWork {
  readonly rank: string;
  readonly urgency: number;
  readonly account: string;
  readonly cost: number;
  readonly deadlineAt: Milliseconds;
  readonly facts: AttemptFacts;
  enqueuedAt: Milliseconds = 0;
  promptTokens: number;
  priority = 0;
  error: TypedError | undefined;
  failedServerId: string | undefined;
  private startedAt: Milliseconds | undefined;
  private stageIndex = 0;
  private generatedTokens = 0;
  private hasEnded = false;

  constructor(
    readonly record: RequestRecord,
    private readonly route: Route,
    view: RequestView,
    private readonly context: SequenceContext,
  ) {
    this.rank = view.rank;
    this.account = view.account;
    this.urgency = view.urgency ?? 0;
    this.cost = view.cost ?? 1;
    this.deadlineAt = view.deadlineAt;
    this.promptTokens = record.request.promptTokens + record.generatedTokens;
    this.facts = {
      route,
      urgency: this.urgency,
      account: this.account,
      cost: this.cost,
    };
  }

  usesServer(serverId: string): boolean {
    return this.route.some(server => server.serverId === serverId);
  }

  /** Enters the queue of the agent at the first stage. */
  enqueue(now: Milliseconds): void {
    if (this.hasEnded) {
      return;
    }
    this.enqueuedAt = now;
    const decision = this.getServer(0).enqueue(this, now);
    if (decision.err) {
      this.error = decision.val;
      this.failedServerId = this.route[0]?.serverId;
      this.end(false, now);
      return;
    }
    const remainingMs = Math.max(0, this.deadlineAt - now);
    this.context.time.schedule(remainingMs, later => {
      this.handleDeadline(later);
    });
  }

  grantSlot(priority: number, now: Milliseconds): void {
    this.startedAt = now;
    this.priority = priority;
    this.updateSequenceCounts(1);
    this.context.handleStarted(this, now - this.enqueuedAt, now);
    this.getServer(0).engine.addPass(this);
  }

  isCancelled(): boolean {
    return this.hasEnded;
  }

  finishPass(now: Milliseconds): void {
    if (this.hasEnded) {
      return;
    }
    const { time } = this.context;
    if (this.stageIndex + 1 < this.route.length) {
      this.stageIndex += 1;
      const delayMs = this.sendActivations(now);
      time.schedule(delayMs, () => {
        this.getServer(this.stageIndex).engine.addPass(this);
      });
      return;
    }
    this.receiveToken(now);
  }

  /** Ends the attempt because a backend server of its route has failed. */
  fail(serverId: string, now: Milliseconds): void {
    if (!this.hasEnded) {
      this.failedServerId = serverId;
      this.end(false, now);
    }
  }

  private receiveToken(now: Milliseconds): void {
    this.generatedTokens += 1;
    this.context.metrics.recordToken(this.record, now);
    if (this.record.generatedTokens >= this.record.request.outputTokens) {
      this.record.finishedAt = now;
      this.end(true, now);
      return;
    }
    this.promptTokens = 0;
    this.stageIndex = 0;
    const { delayMs } = getLink(this.getDomain(-1), this.getDomain(0));
    this.context.time.schedule(delayMs, () => {
      this.getServer(0).engine.addPass(this);
    });
  }

  private sendActivations(now: Milliseconds): Milliseconds {
    const from = this.getDomain(this.stageIndex - 1);
    const to = this.getDomain(this.stageIndex);
    const tokens = Math.max(1, this.promptTokens);
    return this.context.links.send(from, to, tokens, now);
  }

  private handleDeadline(now: Milliseconds): void {
    if (!this.hasEnded) {
      this.end(false, now);
    }
  }

  private end(isComplete: boolean, now: Milliseconds): void {
    this.hasEnded = true;
    const server = this.getServer(0);
    if (this.startedAt === undefined) {
      server.removeQueued(this);
    } else {
      this.updateSequenceCounts(-1);
    }
    if (this.startedAt !== undefined && !server.engine.isDown) {
      const { promptTokens } = this.record.request;
      const cost = computeTokenCost(
        promptTokens,
        this.generatedTokens,
      ).unwrap();
      server.releaseSlot(this, cost, now - this.startedAt, now);
    }
    this.context.handleEnded(
      this,
      {
        isComplete,
        failedServerId: this.failedServerId,
        runMs: this.startedAt === undefined ? undefined : now - this.startedAt,
        generatedTokens: this.generatedTokens,
      },
      now,
    );
  }

  private updateSequenceCounts(change: 1 | -1): void {
    this.route.forEach((_, stageIndex) => {
      this.getServer(stageIndex).updateSequenceCount(this.urgency, change);
    });
  }

  private getServer(stageIndex: number): FakeServer {
    const serverId = this.route[stageIndex]?.serverId ?? '';
    const server = this.context.getServer(serverId);
    if (!server) {
      throw new Error(
        `Server "${serverId}" is not part of the simulated fleet`,
      );
    }
    return server;
  }

  private getDomain(stageIndex: number): string {
    return this.route.at(stageIndex)?.failureDomain ?? '';
  }
}
