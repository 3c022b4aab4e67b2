/**
 * Starts the most urgent rank first, with a guaranteed share for each rank.
 *
 * The next work is chosen in this order:
 * 1. the rank with queued work that is furthest below its floor, by recently
 *    served cost;
 * 2. work with little slack before its deadline, up to a maximum share of the
 *    served cost;
 * 3. the most urgent rank.
 *
 * Within a rank, accounts are served fairly. Some slots are reserved for the
 * most urgent rank and some for accounts that use few slots, so that neither
 * has to wait for a long run to end.
 */
import type { Milliseconds } from '@lycheetally/common';
import { DecayingSum } from '../load/decayingSum.js';
import { WorkOrder, type WaitingWork } from '../workOrder.js';
import { AccountQueue, type AccountWeight } from './accountQueue.js';

/** The properties of a rank that determine the order. */
export interface OrderedRank {
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Share of the served cost guaranteed to the rank while it has queued work, from 0 to 1. */
  readonly floor: number;
}

export interface RankedOrderSettings {
  /** Returns the current ranks; called for each decision, as the configuration may change. */
  readonly listRanks: () => readonly OrderedRank[];
  readonly getWeight: AccountWeight;
  /** Number of slots of the backend server. */
  readonly slots: number;
  /** Returns the share of the slots that the rank leaves to more urgent ones; a constant without it. */
  readonly getUrgentReserve?: (urgency: number) => number;
  /** Share of the slots that only accounts below an equal share of the slots may use. */
  readonly accountReserve?: number;
  /** Whether an account uses too much for the reserve; by its equal share of the slots without it. */
  readonly isLargeAccount?: (account: string) => boolean;
}

interface RankState<T extends WaitingWork> {
  readonly queue: AccountQueue<T>;
  readonly served: DecayingSum;
}

interface FoundWork<T> {
  readonly work: T;
  readonly isEarly: boolean;
}

/** Share of the slots that only the most urgent rank of an agent may use. */
const defaultUrgentReserve = 0.08;
/** `accountReserve` of an agent. */
const defaultAccountReserve = 0.08;
const prioritiesPerRank = 2;
const servedHalfLifeMs = 5_000;
/** Share of the served cost that may start early because it has little slack. */
const maxEarlyShare = 0.3;
/** Work with less slack than this multiple of its expected run time starts early. */
const slackThresholdRuns = 0.5;
const minSlackThresholdMs = 1_000;
const runTimeSmoothing = 0.05;

export class RankedOrder<
  T extends WaitingWork = WaitingWork,
> extends WorkOrder<T> {
  private readonly ranks: RankState<T>[] = [];
  private readonly earlyServed = new DecayingSum(servedHalfLifeMs);
  private running = 0;
  /** Moving average of the run time per token unit, in milliseconds. */
  private runMsPerUnit = 0;

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

  override hasNext(now: Milliseconds): boolean {
    return this.findNext(now) !== undefined;
  }

  override takeNext(now: Milliseconds): T | undefined {
    const found = this.findNext(now);
    if (!found) {
      return undefined;
    }
    const { work, isEarly } = found;
    const rank = this.getRank(work.urgency);
    rank.queue.startWork(work);
    rank.served.add(work.cost, now);
    this.running += 1;
    if (isEarly) {
      this.earlyServed.add(work.cost, now);
    }
    return work;
  }

  /** Within a rank, the engine too prefers accounts below an equal share of the slots. */
  override computePriority(work: T): number {
    const { queue } = this.getRank(work.urgency);
    const isBelowEqualShare = queue.isBelowEqualShare(
      work.account,
      this.settings.slots,
    );
    return work.urgency * prioritiesPerRank + (isBelowEqualShare ? 0 : 1);
  }

  override finish(work: T, cost: number, runMs?: Milliseconds): void {
    this.running -= 1;
    this.getRank(work.urgency).queue.finish(work, cost);
    if (runMs !== undefined && cost > 0) {
      const sample = runMs / cost;
      this.runMsPerUnit +=
        (sample - this.runMsPerUnit) *
        (this.runMsPerUnit > 0 ? runTimeSmoothing : 1);
    }
  }

  private findRankBelowFloor(
    totalServed: number,
    now: Milliseconds,
  ): RankState<T> | undefined {
    let starved: RankState<T> | undefined;
    let lowestRatio = 1;
    for (const { urgency, floor } of this.settings.listRanks()) {
      const rank = this.getRank(urgency);
      if (rank.queue.size === 0 || floor <= 0 || totalServed <= 0) {
        continue;
      }
      const floorRatio = rank.served.get(now) / (totalServed * floor);
      if (floorRatio < lowestRatio) {
        lowestRatio = floorRatio;
        starved = rank;
      }
    }
    return starved;
  }

  private findNext(now: Milliseconds): FoundWork<T> | undefined {
    const totalServed = this.ranks.reduce(
      (sum, rank) => sum + rank.served.get(now),
      0,
    );
    const starved = this.findRankBelowFloor(totalServed, now)?.queue.findNext();
    if (starved) {
      return { work: starved, isEarly: false };
    }
    const early = this.findLowSlackWork(totalServed, now);
    if (early) {
      return { work: early, isEarly: true };
    }
    const work = this.findMostUrgent();
    return work && { work, isEarly: false };
  }

  private findMostUrgent(): T | undefined {
    const {
      slots,
      accountReserve = defaultAccountReserve,
      isLargeAccount,
    } = this.settings;
    for (const [urgency, rank] of this.ranks.entries()) {
      const freeSlots = this.countFreeSlots(urgency);
      if (freeSlots > 0 && rank.queue.size > 0) {
        const allowsAboveShare = freeSlots > slots * accountReserve;
        const work = rank.queue.findNext(
          allowsAboveShare,
          slots,
          isLargeAccount,
        );
        if (work) {
          return work;
        }
      }
    }
    return undefined;
  }

  /** Returns the number of free slots that the rank may use. */
  private countFreeSlots(urgency: number): number {
    const { slots, getUrgentReserve } = this.settings;
    const share = getUrgentReserve?.(urgency) ?? defaultUrgentReserve;
    const reserved = urgency > 0 ? slots * share : 0;
    return slots - reserved - this.running;
  }

  private findLowSlackWork(
    totalServed: number,
    now: Milliseconds,
  ): T | undefined {
    if (this.earlyServed.get(now) > totalServed * maxEarlyShare) {
      return undefined;
    }
    for (const [urgency, rank] of this.ranks.entries()) {
      const work = urgency > 0 ? rank.queue.findEarliestDeadline() : undefined;
      if (
        work &&
        this.countFreeSlots(urgency) > 0 &&
        this.hasLowSlack(work, now)
      ) {
        return work;
      }
    }
    return undefined;
  }

  // Work that can no longer meet its deadline gains nothing from an early start.
  private hasLowSlack(work: T, now: Milliseconds): boolean {
    const runMs = work.cost * this.runMsPerUnit;
    const slackMs = work.deadlineAt - now - runMs;
    return (
      slackMs >= 0 &&
      slackMs < Math.max(minSlackThresholdMs, runMs * slackThresholdRuns)
    );
  }

  private getRank(urgency: number): RankState<T> {
    for (let next = this.ranks.length; next <= urgency; next += 1) {
      this.ranks.push(this.createRank());
    }
    return this.ranks[urgency] ?? this.createRank();
  }

  private createRank(): RankState<T> {
    return {
      queue: new AccountQueue<T>(this.settings.getWeight),
      served: new DecayingSum(servedHalfLifeMs),
    };
  }
}
