/**
 * Estimates how long new work of each rank waits at an agent.
 *
 * Work of a rank waits until the cost queued ahead of it is served, at the rate
 * that the more urgent ranks leave over. Its floor limits this wait: the cost
 * queued in the rank itself is served at least at the rate of the floor.
 */
import type { Milliseconds } from '@lycheetally/common';
import { AccountBacklog } from '../load/accountBacklog.js';
import { DecayingSum } from '../load/decayingSum.js';
import type { RankLoad } from '../load/loadReport.js';
import type { AccountWeight } from './accountQueue.js';
import type { WaitingWork } from '../workOrder.js';

const rateHalfLifeMs = 3_000;
const minShare = 0.01;

class RankQueue {
  waiting = 0;
  waitingCost = 0;
  /** Sequences that run on the server, including those whose first stage is elsewhere. */
  sequences = 0;
  readonly backlog = new AccountBacklog();
  readonly started = new DecayingSum(rateHalfLifeMs);

  constructor(readonly floor: number) {}
}

export class QueueDelayModel {
  private readonly ranks: RankQueue[];

  /** The floors are indexed by urgency, each from 0 to 1. */
  constructor(
    floors: readonly number[],
    private readonly getWeight: AccountWeight = () => 1,
  ) {
    this.ranks = floors.map(floor => new RankQueue(floor));
  }

  noteEnqueued(work: WaitingWork): void {
    const rank = this.getRank(work.urgency);
    rank.waiting += 1;
    rank.waitingCost += work.cost;
    rank.backlog.add(work.account, work.cost, this.getWeight(work.account));
  }

  noteStarted(work: WaitingWork, now: Milliseconds): void {
    this.noteRemoved(work);
    this.getRank(work.urgency).started.add(work.cost, now);
  }

  noteRemoved(work: WaitingWork): void {
    const rank = this.getRank(work.urgency);
    rank.waiting -= 1;
    rank.waitingCost -= work.cost;
    rank.backlog.remove(work.account, work.cost);
  }

  countWaiting(urgency: number): number {
    return this.getRank(urgency).waiting;
  }

  /** Counts a sequence that has started (1) or ended (-1) on the server, at any stage. */
  countSequence(urgency: number, change: 1 | -1): void {
    this.getRank(urgency).sequences += change;
  }

  /** Returns the expected wait of new work of the account, in milliseconds. */
  estimateAccountWait(work: WaitingWork, now: Milliseconds): Milliseconds {
    const { backlog } = this.getRank(work.urgency);
    const waitFactor = backlog.computeWaitFactor(work.account);
    return this.estimateWait(work.urgency, now) * waitFactor;
  }

  /** Returns the expected wait of new work of the rank, in milliseconds. */
  estimateWait(urgency: number, now: Milliseconds): Milliseconds {
    const rank = this.getRank(urgency);
    const costAhead = this.ranks
      .slice(0, urgency + 1)
      .reduce((sum, each) => sum + each.waitingCost, 0);
    if (costAhead <= 0) {
      return 0;
    }
    const rates = this.ranks.map(each => each.started.computeRate(now));
    const totalRate = rates.reduce((sum, rate) => sum + rate, 0);
    if (totalRate === 0) {
      return 0;
    }
    const urgentRate = rates
      .slice(0, urgency)
      .reduce((sum, rate) => sum + rate, 0);
    const rateShare = Math.max(
      minShare,
      rank.floor,
      1 - urgentRate / totalRate,
    );
    const priorityWaitMs =
      costAhead / (totalRate * Math.max(minShare, 1 - urgentRate / totalRate));
    const floorWaitMs =
      rank.floor > 0 ? rank.waitingCost / (totalRate * rank.floor) : Infinity;
    return Math.min(
      priorityWaitMs,
      Math.max(floorWaitMs, rank.waitingCost / (totalRate * rateShare)),
    );
  }

  listLoads(now: Milliseconds): readonly RankLoad[] {
    return this.ranks.map((rank, urgency) => ({
      urgency,
      waiting: rank.waiting,
      waitingCost: rank.waitingCost,
      sequences: rank.sequences,
      waitMs: this.estimateWait(urgency, now),
    }));
  }

  private getRank(urgency: number): RankQueue {
    for (let next = this.ranks.length; next <= urgency; next += 1) {
      this.ranks.push(new RankQueue(0));
    }
    return this.ranks[urgency] ?? new RankQueue(0);
  }
}
