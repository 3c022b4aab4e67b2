/**
 * The queue of one service at one gateway: which call runs, waits or is refused.
 *
 * A call gets a place at once if the limit allows it and nothing waits before it. Otherwise it
 * waits as long as the forecast of its place meets its target, or, while places are enough for
 * all arrivals, for a late answer. A call that the forecast gives up is refused at that moment.
 *
 * Order: streams under way, which the limit never holds; then `RankedOrder`, by rank with floors,
 * by account, by deadline. A call that returned as told goes before the new ones of its rank.
 * Calls without a chain wait outside the order until something may have brought one.
 */
import type { Milliseconds, ValueOf } from '@lycheetally/common';
import { AccountDemand } from './accountDemand.js';
import type { AccountWeight } from '../order/accountQueue.js';
import { RankedOrder, type OrderedRank } from '../order/rankedOrder.js';
import type { DecayingSum } from '../load/decayingSum.js';
import type { WaitingWork } from '../workOrder.js';
import {
  RunEnd,
  type ConcurrencyLimit,
  type RunTargets,
} from './concurrencyLimit.js';
import {
  callsPerChainCheck,
  chainCheckMs,
  forecastMargin,
  lateLoadShare,
  maxLateWaitMs,
  maxResumeWaitMs,
  maxWaitMs,
  maxWaitingBytes,
  maxWaitingCalls,
  minOutageMs,
  minProbeMs,
  probeDurations,
  rankFloor,
  reserveTimeMs,
  returnToleranceMs,
  scarcePressure,
  roundMs,
} from './constants.js';
import { RankDemand } from './rankDemand.js';
import { getOrCreateSum } from './rankSums.js';
import { PlaceForecast } from './placeForecast.js';
import { ReturnTimes } from './returnTimes.js';
import { WaitCost } from './waitCost.js';
import type { WaitingCall } from './waitingCall.js';

/** Why a call is refused. */
export const RefusalReason = {
  /** No place comes in time. */
  Late: 'late',
  /** No chain is to be expected in time. */
  NoChain: 'no chain',
  /** The queue is bounded, and other calls cost more to refuse. */
  Full: 'full',
  /** It waited as long as a call may. */
  Old: 'old',
  /** It came back before the time that it was told. */
  Early: 'early',
} as const;
export type RefusalReason = ValueOf<typeof RefusalReason>;

export interface Refusal {
  readonly reason: RefusalReason;
  readonly returnMs: Milliseconds;
  /** The forecast that decided it. */
  readonly waitMs: Milliseconds;
  readonly ahead: number;
  readonly running: number;
  readonly limit: number;
}

export const QueueDecision = {
  Run: 'run',
  Wait: 'wait',
} as const;
export type QueueDecision = ValueOf<typeof QueueDecision> | Refusal;

/** A call with what the queue needs beside the contract. */
export interface QueuedCallView extends WaitingCall {
  readonly targets: RunTargets;
  /** Memory that it takes while it waits. */
  readonly bytes: number;
}

/** What is known of when a call without a chain gets one. */
export interface ChainOutlook {
  /** How long the limits of servers hold it back at least. */
  readonly waitMs: Milliseconds;
  /** Whether silent servers can take it, which may be back at any moment. */
  readonly mayReturn: boolean;
}

/** A waiting call, in the form that the order takes. */
class Waiter implements WaitingWork {
  readonly rank: string;
  readonly urgency: number;
  readonly account: string;
  readonly cost: number;
  readonly deadlineAt: Milliseconds;
  hasChain = true;
  outlook: ChainOutlook = { waitMs: 0, mayReturn: false };

  constructor(
    readonly call: QueuedCallView,
    readonly enqueuedAt: Milliseconds,
  ) {
    // Within each rank, calls that returned as told go first.
    this.urgency = call.urgency * 2 + (call.refusals > 0 ? 0 : 1);
    this.rank = String(this.urgency);
    this.account = call.account;
    this.cost = call.expectedTokens;
    this.deadlineAt = call.deadlineAt;
  }
}

/** Streams under way first, then the most urgent calls. */
const compareUrgency = (a: WaitingCall, b: WaitingCall): number =>
  Number(b.isUnderWay) - Number(a.isUnderWay) || a.urgency - b.urgency;

export interface CallQueueSettings {
  readonly limit: ConcurrencyLimit;
  readonly getWeight: AccountWeight;
  /** Returns a number from 0 to 1. */
  readonly getRandom: () => number;
}

export class CallQueue {
  private readonly forecast = new PlaceForecast();
  private readonly returns = new ReturnTimes();
  private readonly cost = new WaitCost();
  private readonly accounts = new AccountDemand();
  private readonly ranks = new RankDemand();
  private readonly order: RankedOrder<Waiter>;
  /** Tokens that were asked for, by urgency in the order. */
  private readonly demand: DecayingSum[] = [];
  /** All that wait, also without a chain. */
  private readonly waiters = new Map<string, Waiter>();
  /** Those that run: the waiter that had its place, absent for a stream under way. */
  private readonly running = new Map<string, Waiter>();
  private waitingBytes = 0;
  private startedAt: Milliseconds = -Infinity;
  /** Time of the newest decision, for what the order asks. */
  private seenAt: Milliseconds = 0;
  /** When a call was last held back. */
  private heldAt: Milliseconds = -Infinity;
  /** Since when calls find no chain. */
  private outageSince: Milliseconds | undefined;

  constructor(private readonly settings: CallQueueSettings) {
    // `hasPlace` decides whether a call may start, also as a probe beyond the limit.
    const getSlots = (): number => Math.max(this.limit, this.running.size + 1);
    const getReserve = (): number => this.accountReserve;
    this.order = new RankedOrder<Waiter>({
      listRanks: () => this.listRanks(),
      getWeight: settings.getWeight,
      getUrgentReserve: urgency => this.computeRankReserve(urgency),
      isLargeAccount: account => this.accounts.isLarge(account, this.seenAt),
      get slots() {
        return getSlots();
      },
      get accountReserve() {
        return getReserve();
      },
    });
  }

  get limit(): number {
    return this.settings.limit.value;
  }

  get pressure(): number {
    return this.settings.limit.pressure;
  }

  get runningCount(): number {
    return this.running.size;
  }

  get waitingCount(): number {
    return this.waiters.size;
  }

  /** Whether an earlier refusal may explain a new call. */
  get hasRefused(): boolean {
    return this.returns.hasRefused;
  }

  /** Finds what was told to the same request before. */
  findRefused(
    requestKey: string,
  ): Pick<WaitingCall, 'refusals' | 'toldAt'> | undefined {
    return this.returns.find(requestKey);
  }

  /** Decides on a call that has arrived; one that waits is kept. */
  decide(call: QueuedCallView, now: Milliseconds): QueueDecision {
    const known = this.waiters.get(call.id);
    if (known) {
      // It was woken by an event that is not of the queue.
      this.drop(known);
    }
    this.advance(now);
    this.forecast.noteArrived(now);
    this.cost.noteOffered(call, now);
    this.accounts.noteArrived(call.account, now);
    this.ranks.noteArrived(call.urgency, now);
    const waiter = new Waiter(call, now);
    const demand = getOrCreateSum(this.demand, waiter.urgency);
    demand.add(call.expectedTokens, now);
    if (call.isUnderWay) {
      this.start(waiter, now);
      return QueueDecision.Run;
    }
    if (
      this.hasPlace(now) &&
      this.order.size === 0 &&
      !(this.keepsPlaces && this.cost.isAheadOfItsRank(call.urgency, now))
    ) {
      this.order.add(waiter);
      if (this.order.takeNext(now)) {
        this.start(waiter, now);
        return QueueDecision.Run;
      }
      this.order.remove(waiter);
    }
    this.settings.limit.noteHeld();
    this.heldAt = now;
    if (call.toldAt !== undefined && call.toldAt > now + returnToleranceMs) {
      return this.refuse(waiter, RefusalReason.Early, now);
    }
    if (!this.mayWait(waiter, now)) {
      return this.refuse(waiter, RefusalReason.Late, now);
    }
    this.keep(waiter);
    return QueueDecision.Wait;
  }

  /** Decides on a call that has a place and found no chain; it gives its place back. */
  decideWithoutChain(
    call: QueuedCallView,
    outlook: ChainOutlook,
    now: Milliseconds,
  ): QueueDecision {
    this.outageSince ??= now;
    const waiter = this.release(call.id, RunEnd.Cancelled, now, 0);
    const next = new Waiter(call, waiter?.enqueuedAt ?? now);
    next.hasChain = false;
    next.outlook = outlook;
    if (!this.mayWaitForChain(next, now)) {
      return this.refuse(next, RefusalReason.NoChain, now);
    }
    this.keep(next);
    return QueueDecision.Wait;
  }

  /** Notes that a chain was found. */
  noteChain(hasRoom: boolean): void {
    this.settings.limit.noteRoom(hasRoom);
    if (this.outageSince !== undefined) {
      this.outageSince = undefined;
      this.noteServersChanged();
    }
  }

  noteEvent(id: string, now: Milliseconds): void {
    this.forecast.noteAnswered(id, now);
    this.settings.limit.noteEvent(id, now);
  }

  notePaused(id: string): void {
    this.settings.limit.notePaused(id);
  }

  noteServerLost(id: string): void {
    this.settings.limit.noteServerLost(id);
  }

  noteFailure(id: string, now: Milliseconds): void {
    this.settings.limit.noteFailure(id, now);
  }

  /** Removes a call that waits or runs. */
  remove(id: string, end: RunEnd, now: Milliseconds): void {
    const waiter = this.waiters.get(id);
    if (waiter) {
      this.drop(waiter);
    }
    this.release(id, end, now);
  }

  /** Makes the calls without a chain eligible again, since one may have come. */
  noteServersChanged(): void {
    this.listWithoutChain().forEach(waiter => {
      this.noteEligible(waiter);
    });
  }

  /** Makes the first calls without a chain eligible; the others follow if one of them finds it. */
  checkChains(): void {
    this.listWithoutChain()
      .sort((a, b) => compareUrgency(a.call, b.call))
      .slice(0, callsPerChainCheck)
      .forEach(waiter => {
        this.noteEligible(waiter);
      });
  }

  /** Takes the call that starts next, if one may. */
  takeNext(now: Milliseconds): QueuedCallView | undefined {
    this.advance(now);
    const resumed = [...this.waiters.values()].find(
      ({ call, hasChain }) => call.isUnderWay && hasChain,
    );
    const next =
      resumed ?? (this.hasPlace(now) ? this.order.takeNext(now) : undefined);
    if (!next) {
      return undefined;
    }
    this.clearWaiter(next);
    this.start(next, now);
    return next.call;
  }

  /** Takes the calls that no longer gain by waiting, with what they are told. */
  takeRefused(
    now: Milliseconds,
  ): readonly { call: QueuedCallView; refusal: Refusal }[] {
    this.advance(now);
    return [...this.waiters.values()].flatMap(waiter => {
      const reason = this.findFault(waiter, now);
      if (reason === undefined) {
        return [];
      }
      const refusal = this.refuse(waiter, reason, now);
      this.drop(waiter);
      return [{ call: waiter.call, refusal }];
    });
  }

  /** Records the refusal for when the same request comes back. */
  noteRefused(
    requestKey: string,
    call: WaitingCall,
    { returnMs }: Refusal,
    now: Milliseconds,
  ): void {
    this.returns.noteRefused(requestKey, call, now + returnMs, now);
  }

  /** When the next decision on a waiting call is due; `undefined` while none waits. */
  findNextDue(now: Milliseconds): Milliseconds | undefined {
    if (this.waiters.size === 0) {
      return undefined;
    }
    const isWithoutChain = this.listWithoutChain().length > 0;
    const ends = [...this.waiters.values()].map(({ call }) =>
      this.findLatestStart(call, now),
    );
    return Math.max(
      now + 1,
      Math.min(
        now + (isWithoutChain ? chainCheckMs : roundMs),
        ...ends.filter(at => at > now),
      ),
    );
  }

  private advance(now: Milliseconds): void {
    this.seenAt = now;
    this.settings.limit.advance(now);
  }

  private listWithoutChain(): Waiter[] {
    return [...this.waiters.values()].filter(({ hasChain }) => !hasChain);
  }

  private noteEligible(waiter: Waiter): void {
    waiter.hasChain = true;
    if (!waiter.call.isUnderWay) {
      this.order.add(waiter);
    }
  }

  private hasPlace(now: Milliseconds): boolean {
    return (
      this.running.size < this.limit ||
      now - this.startedAt >=
        Math.max(
          minProbeMs,
          probeDurations * this.forecast.estimateDuration(now),
        )
    );
  }

  private start(waiter: Waiter, now: Milliseconds): void {
    const { call } = waiter;
    this.running.set(call.id, waiter);
    this.forecast.noteStarted(call.id, waiter.urgency, now);
    this.settings.limit.noteStarted(call.id, call.targets, now);
    this.cost.noteServed(call, now);
    this.accounts.countRunning(call.account, 1);
    this.ranks.countRunning(call.urgency, 1);
    this.startedAt = now;
  }

  private release(
    id: string,
    end: RunEnd,
    now: Milliseconds,
    cost?: number,
  ): Waiter | undefined {
    const waiter = this.running.get(id);
    if (waiter) {
      this.running.delete(id);
      this.accounts.countRunning(waiter.account, -1);
      this.ranks.countRunning(waiter.call.urgency, -1);
      this.forecast.noteEnded(id, end === RunEnd.Complete, now);
      this.settings.limit.noteEnded(id, end, now);
      if (!waiter.call.isUnderWay) {
        this.order.finish(waiter, cost ?? waiter.cost);
      }
      this.advance(now);
    }
    return waiter;
  }

  private keep(waiter: Waiter): void {
    this.waiters.set(waiter.call.id, waiter);
    this.waitingBytes += waiter.call.bytes;
    if (waiter.hasChain && !waiter.call.isUnderWay) {
      this.order.add(waiter);
    }
  }

  private clearWaiter(waiter: Waiter): void {
    if (this.waiters.delete(waiter.call.id)) {
      this.waitingBytes -= waiter.call.bytes;
    }
  }

  private drop(waiter: Waiter): void {
    this.clearWaiter(waiter);
    this.order.remove(waiter);
  }

  /** Why a waiting call is refused now; it stays without a reason. */
  private findFault(
    waiter: Waiter,
    now: Milliseconds,
  ): RefusalReason | undefined {
    if (!waiter.hasChain) {
      return this.mayWaitForChain(waiter, now)
        ? undefined
        : RefusalReason.NoChain;
    }
    if (waiter.call.isUnderWay) {
      return undefined;
    }
    if (now - waiter.enqueuedAt >= maxWaitMs) {
      return RefusalReason.Old;
    }
    if (!this.mayWait(waiter, now)) {
      return RefusalReason.Late;
    }
    return this.isOverBound && this.findCheapest(now) === waiter
      ? RefusalReason.Full
      : undefined;
  }

  /** Whether places are kept: only while calls are held back and servers are busy, not while the limit rises. */
  private get keepsPlaces(): boolean {
    return (
      this.seenAt - this.heldAt < reserveTimeMs &&
      this.pressure >= scarcePressure
    );
  }

  /** Computes the share of the places that a rank of the order leaves to more urgent ranks of calls. */
  private computeRankReserve(urgency: number): number {
    const now = this.seenAt;
    return this.keepsPlaces
      ? this.ranks.computeReserve(
          Math.floor(urgency / 2),
          this.limit,
          this.forecast.estimateDuration(now),
          now,
        )
      : 0;
  }

  /** While calls are held back, some places wait for the accounts that use few. */
  private get accountReserve(): number {
    const now = this.seenAt;
    return this.keepsPlaces
      ? this.accounts.computeReserve(
          this.limit,
          this.forecast.estimateDuration(now),
          now,
        )
      : 0;
  }

  private get isOverBound(): boolean {
    return (
      this.waiters.size > maxWaitingCalls || this.waitingBytes > maxWaitingBytes
    );
  }

  private findCheapest(now: Milliseconds): Waiter | undefined {
    let cheapest: Waiter | undefined;
    let lowest = Infinity;
    for (const waiter of this.waiters.values()) {
      const isOnTime = now + this.forecast.answerMs < waiter.call.targetAt;
      const cost = this.cost.compute(waiter.call, isOnTime, now);
      if (cost < lowest) {
        cheapest = waiter;
        lowest = cost;
      }
    }
    return cheapest;
  }

  private mayWait(waiter: Waiter, now: Milliseconds): boolean {
    const { call } = waiter;
    if (this.cost.isAheadOfItsRank(call.urgency, now)) {
      // A longer target must not give a rank the places that a more urgent one is refused.
      return false;
    }
    const waitMs = this.estimateWait(waiter, now) * forecastMargin;
    const leftMs = call.targetAt - this.forecast.answerMs - now;
    if (waitMs <= leftMs) {
      return true;
    }
    const lateMs = Math.min(
      maxLateWaitMs,
      call.deadlineAt - now - this.forecast.estimateDuration(now),
    );
    return (
      waitMs <= lateMs &&
      this.forecast.computeLoad(this.limit, now) < lateLoadShare
    );
  }

  /** An outage lasts about as long again as it has lasted. */
  private mayWaitForChain(waiter: Waiter, now: Milliseconds): boolean {
    const { call, outlook, enqueuedAt } = waiter;
    if (outlook.mayReturn && !call.isUnderWay) {
      return now < Math.min(enqueuedAt + maxLateWaitMs, call.deadlineAt);
    }
    const waitMs = this.estimateOutage(waiter, now);
    return now + waitMs <= this.findLatestStart(call, now);
  }

  private estimateOutage({ outlook }: Waiter, now: Milliseconds): Milliseconds {
    const lastedMs = now - (this.outageSince ?? now);
    return Math.max(minOutageMs, outlook.waitMs, lastedMs);
  }

  /** Until when a start is worth it: for a stream under way until its caller gives up. */
  private findLatestStart(
    call: QueuedCallView,
    now: Milliseconds,
  ): Milliseconds {
    return call.isUnderWay
      ? Math.min(call.targetAt + maxResumeWaitMs, call.deadlineAt)
      : Math.max(call.targetAt - this.forecast.answerMs, now - 1);
  }

  private estimateWait(waiter: Waiter, now: Milliseconds): Milliseconds {
    const { urgency } = waiter;
    return this.forecast.estimateWait(
      {
        limit: this.limit,
        running: this.running.size,
        ahead: this.countAhead(waiter),
        urgency,
        floor:
          this.listRanks().find(rank => rank.urgency === urgency)?.floor ?? 1,
      },
      now,
    );
  }

  /** Counts the calls that get a place first: those of more urgent ranks, and by turns those of the other accounts of its rank. */
  private countAhead(waiter: Waiter): number {
    let urgent = 0;
    let own = 0;
    const others = new Map<string, number>();
    for (const each of this.waiters.values()) {
      if (each === waiter || !each.hasChain) {
        continue;
      }
      if (each.urgency < waiter.urgency || each.call.isUnderWay) {
        urgent += 1;
      } else if (each.urgency === waiter.urgency) {
        if (each.account !== waiter.account) {
          others.set(each.account, (others.get(each.account) ?? 0) + 1);
        } else if (each.deadlineAt <= waiter.deadlineAt) {
          own += 1;
        }
      }
    }
    const { getWeight } = this.settings;
    const turns = (own + 1) / getWeight(waiter.account);
    const reserved = this.accounts.isLarge(waiter.account, this.seenAt)
      ? Math.ceil(this.limit * this.accountReserve)
      : 0;
    const keptForRanks = Math.ceil(
      this.limit * this.computeRankReserve(waiter.urgency),
    );
    const kept = Math.max(reserved, keptForRanks);
    const byTurns = [...others].map(([account, count]) =>
      Math.min(count, turns * getWeight(account)),
    );
    return urgent + own + kept + byTurns.reduce((sum, each) => sum + each, 0);
  }

  private refuse(
    waiter: Waiter,
    reason: RefusalReason,
    now: Milliseconds,
  ): Refusal {
    const waitMs =
      reason === RefusalReason.NoChain
        ? this.estimateOutage(waiter, now)
        : this.estimateWait(waiter, now);
    const placeMs = 1 / this.forecast.computeRate(this.limit, now);
    const returnMs = this.returns.reserve(
      {
        call: waiter.call,
        waitMs,
        placeMs,
        random: this.settings.getRandom(),
      },
      now,
    );
    return {
      reason,
      returnMs,
      waitMs,
      ahead: this.countAhead(waiter),
      running: this.running.size,
      limit: this.limit,
    };
  }

  /** The ranks with floors in proportion to their demand, so that none is served more often than a more urgent one. */
  private listRanks(): readonly OrderedRank[] {
    const now = this.seenAt;
    const demands = this.demand.map(each => each.get(now));
    const total = demands.reduce((sum, each) => sum + each, 0);
    return demands.map((each, urgency) => ({
      urgency,
      floor: urgency > 0 && total > 0 ? (rankFloor * each) / total : 0,
    }));
  }
}
