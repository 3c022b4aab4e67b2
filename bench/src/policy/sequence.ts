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
import type { AgentWork, FakeWorker } from './fakeWorker.js';
import type { RequestRecord, Tally } from './tally.js';
import type { VirtualTime } from './virtualTime.js';

export interface SequenceServices {
  readonly time: VirtualTime;
  readonly links: FakeLinks;
  readonly tally: Tally;
  getWorker(serverId: string): FakeWorker | undefined;
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
  private stage = 0;
  private made = 0;
  private isOver = false;

  constructor(
    readonly record: RequestRecord,
    private readonly route: Route,
    view: RequestView,
    private readonly services: SequenceServices,
  ) {
    this.rank = view.rank;
    this.account = view.account;
    this.urgency = view.urgency ?? 0;
    this.cost = view.cost ?? 1;
    this.deadlineAt = view.deadlineAt;
    this.promptTokens = record.request.promptTokens + record.generated;
    this.facts = {
      route,
      urgency: this.urgency,
      account: this.account,
      cost: this.cost,
    };
  }

  uses(serverId: string): boolean {
    return this.route.some(server => server.serverId === serverId);
  }

  /** Enters the queue of the agent at the first stage. */
  enqueue(now: Milliseconds): void {
    if (this.isOver) {
      return;
    }
    this.enqueuedAt = now;
    const decided = this.getWorker(0).enqueue(this, now);
    if (decided.err) {
      this.error = decided.val;
      this.failedServerId = this.route[0]?.serverId;
      this.end(false, now);
      return;
    }
    const leftMs = Math.max(0, this.deadlineAt - now);
    this.services.time.schedule(leftMs, later => {
      this.cancelLate(later);
    });
  }

  grantSlot(priority: number, now: Milliseconds): void {
    this.startedAt = now;
    this.priority = priority;
    this.countSequence(1);
    this.services.handleStarted(this, now - this.enqueuedAt, now);
    this.getWorker(0).engine.addPass(this);
  }

  isCancelled(): boolean {
    return this.isOver;
  }

  finishPass(now: Milliseconds): void {
    if (this.isOver) {
      return;
    }
    const { time } = this.services;
    if (this.stage + 1 < this.route.length) {
      this.stage += 1;
      const delayMs = this.sendForward(now);
      time.schedule(delayMs, () => {
        this.getWorker(this.stage).engine.addPass(this);
      });
      return;
    }
    this.receiveToken(now);
  }

  /** Ends the attempt because a backend server of its route has failed. */
  fail(serverId: string, now: Milliseconds): void {
    if (!this.isOver) {
      this.failedServerId = serverId;
      this.end(false, now);
    }
  }

  private receiveToken(now: Milliseconds): void {
    this.made += 1;
    this.services.tally.noteToken(this.record, now);
    if (this.record.generated >= this.record.request.outputTokens) {
      this.record.finishedAt = now;
      this.end(true, now);
      return;
    }
    this.promptTokens = 0;
    this.stage = 0;
    const { delayMs } = getLink(this.getDomain(-1), this.getDomain(0));
    this.services.time.schedule(delayMs, () => {
      this.getWorker(0).engine.addPass(this);
    });
  }

  private sendForward(now: Milliseconds): Milliseconds {
    const from = this.getDomain(this.stage - 1);
    const to = this.getDomain(this.stage);
    const tokens = Math.max(1, this.promptTokens);
    return this.services.links.send(from, to, tokens, now);
  }

  private cancelLate(now: Milliseconds): void {
    if (!this.isOver) {
      this.end(false, now);
    }
  }

  private end(isComplete: boolean, now: Milliseconds): void {
    this.isOver = true;
    const worker = this.getWorker(0);
    if (this.startedAt === undefined) {
      worker.withdraw(this);
    } else {
      this.countSequence(-1);
    }
    if (this.startedAt !== undefined && !worker.engine.isDown) {
      const { promptTokens } = this.record.request;
      const cost = computeTokenCost(promptTokens, this.made).unwrap();
      worker.release(this, cost, now - this.startedAt, now);
    }
    this.services.handleEnded(
      this,
      {
        isComplete,
        failedServerId: this.failedServerId,
        runMs: this.startedAt === undefined ? undefined : now - this.startedAt,
        generatedTokens: this.made,
      },
      now,
    );
  }

  private countSequence(change: 1 | -1): void {
    this.route.forEach((_, stage) => {
      this.getWorker(stage).countSequence(this.urgency, change);
    });
  }

  private getWorker(stage: number): FakeWorker {
    const serverId = this.route[stage]?.serverId ?? '';
    const worker = this.services.getWorker(serverId);
    if (!worker) {
      throw new Error(
        `Server "${serverId}" is not part of the simulated fleet`,
      );
    }
    return worker;
  }

  private getDomain(stage: number): string {
    return this.route.at(stage)?.failureDomain ?? '';
  }
}
