/**
 * Urgent ranks first, with a guaranteed share for each lower rank.
 *
 * A waiting rank that has lately been served less than its floor goes first,
 * the one furthest below its floor before the others. Work whose deadline
 * leaves it little slack goes next, within a bounded share. After these the
 * most urgent rank is served. Inside a rank accounts are served fairly.
 */
import type { Milliseconds } from '@lycheetally/common';
import { DecayingSum } from '../load/decayingSum.js';
import { WorkOrder, type WaitingWork } from '../workOrder.js';
import { AccountQueue, type AccountWeight } from './accountQueue.js';

/** What the order knows of a rank. */
export interface OrderedRank {
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Share of the served cost that the rank keeps while it waits, from 0 to 1. */
  readonly floor: number;
}

export interface RankedOrderSettings {
  /** Ranks in force; asked at each decision, as the configuration may change. */
  readonly listRanks: () => readonly OrderedRank[];
  readonly weightOf: AccountWeight;
}

interface RankState<T extends WaitingWork> {
  readonly queue: AccountQueue<T>;
  readonly served: DecayingSum;
}

const servedHalfLifeMs = 5_000;
/** Share of the served cost that may start early for want of slack. */
const maxSlackShare = 0.3;
/** Slack below which work is started early, as a multiple of its expected run. */
const slackRuns = 2;
const leastSlackMs = 1_000;
const runFade = 0.05;

export class RankedOrder<
  T extends WaitingWork = WaitingWork,
> extends WorkOrder<T> {
  private readonly ranks: RankState<T>[] = [];
  private readonly early = new DecayingSum(servedHalfLifeMs);
  /** Learned milliseconds of a run for each token unit. */
  private unitMs = 0;

  constructor(private readonly settings: RankedOrderSettings) {
    super();
  }

  override get size(): number {
    return this.ranks.reduce((sum, rank) => sum + rank.queue.size, 0);
  }

  override add(work: T): void {
    this.getRank(work.urgency).queue.add(work);
  }

  override remove(work: T): boolean {
    return this.getRank(work.urgency).queue.remove(work);
  }

  override list(): readonly T[] {
    return this.ranks.flatMap(rank => rank.queue.list());
  }

  override takeNext(now: Milliseconds): T | undefined {
    const total = this.ranks.reduce(
      (sum, rank) => sum + rank.served.get(now),
      0,
    );
    const work =
      this.findStarved(total, now)?.queue.takeNext() ??
      this.takeEarly(total, now) ??
      this.ranks.find(rank => rank.queue.size > 0)?.queue.takeNext();
    if (work) {
      this.getRank(work.urgency).served.add(work.cost, now);
    }
    return work;
  }

  override settle(work: T, cost: number, runMs?: Milliseconds): void {
    this.getRank(work.urgency).queue.settle(work, cost);
    if (runMs !== undefined && cost > 0) {
      const sample = runMs / cost;
      this.unitMs += (sample - this.unitMs) * (this.unitMs > 0 ? runFade : 1);
    }
  }

  private findStarved(
    total: number,
    now: Milliseconds,
  ): RankState<T> | undefined {
    let starved: RankState<T> | undefined;
    let lowest = 1;
    for (const { urgency, floor } of this.settings.listRanks()) {
      const rank = this.getRank(urgency);
      if (rank.queue.size === 0 || floor <= 0 || total <= 0) {
        continue;
      }
      const kept = rank.served.get(now) / (total * floor);
      if (kept < lowest) {
        lowest = kept;
        starved = rank;
      }
    }
    return starved;
  }

  private takeEarly(total: number, now: Milliseconds): T | undefined {
    if (this.early.get(now) > total * maxSlackShare) {
      return undefined;
    }
    for (const rank of this.ranks.slice(1)) {
      const work = rank.queue.findEarliest();
      if (work && this.isTight(work, now)) {
        this.early.add(work.cost, now);
        return rank.queue.takeWork(work);
      }
    }
    return undefined;
  }

  // Work that can no longer end in time is not tight but late.
  private isTight(work: T, now: Milliseconds): boolean {
    const runMs = work.cost * this.unitMs;
    const slackMs = work.deadlineAt - now - runMs;
    return slackMs >= 0 && slackMs < Math.max(leastSlackMs, runMs * slackRuns);
  }

  private getRank(urgency: number): RankState<T> {
    for (let next = this.ranks.length; next <= urgency; next += 1) {
      this.ranks.push(this.createRank());
    }
    return this.ranks[urgency] ?? this.createRank();
  }

  private createRank(): RankState<T> {
    return {
      queue: new AccountQueue<T>(this.settings.weightOf),
      served: new DecayingSum(servedHalfLifeMs),
    };
  }
}
