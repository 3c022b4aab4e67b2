/**
 * The queue of one rank: weighted fair queueing between accounts by token cost.
 *
 * Each account has a counter that grows by cost divided by weight when its work
 * starts; the account with the lowest counter goes next. An account that was
 * idle resumes at the lowest counter of the waiting accounts, so that it gains
 * nothing from idle time. Within an account the earliest deadline goes first.
 */
import type { WaitingWork } from '../workOrder.js';

interface AccountState<T> {
  counter: number;
  /** Number of slots in use. */
  running: number;
  /** Sorted by deadline. */
  readonly waiting: T[];
}

/** Returns the weight of an account; its share of the capacity is proportional to it. */
export type AccountWeight = (account: string) => number;

/**
 * Above this number of accounts, idle ones are dropped. Those whose counter is
 * still ahead are kept, as a new counter would omit the cost already served.
 */
const maxIdleAccounts = 1_024;

export class AccountQueue<T extends WaitingWork> {
  private readonly accounts = new Map<string, AccountState<T>>();
  private readonly backlogged = new Set<AccountState<T>>();
  /** Accounts with queued or running work. */
  private readonly active = new Set<AccountState<T>>();
  private lastCounter = 0;
  private count = 0;

  constructor(private readonly getWeight: AccountWeight) {}

  get size(): number {
    return this.count;
  }

  add(work: T): void {
    const state = this.getOrCreateAccount(work.account);
    if (state.waiting.length === 0) {
      state.counter = Math.max(state.counter, this.findLowestCounter());
      this.backlogged.add(state);
      this.active.add(state);
    }
    state.waiting.splice(findInsertIndex(state.waiting, work), 0, work);
    this.count += 1;
  }

  /**
   * Returns the next work of the account with the lowest counter. Without
   * `allowsAboveShare`, skips accounts that use at least an equal share of the slots, or
   * that `isLargeAccount` names.
   */
  findNext(
    allowsAboveShare = true,
    slots = Infinity,
    isLargeAccount?: (account: string) => boolean,
  ): T | undefined {
    const equalShare = this.computeEqualShare(slots);
    let best: AccountState<T> | undefined;
    for (const state of this.backlogged) {
      const isEligible =
        allowsAboveShare ||
        (isLargeAccount
          ? !isLargeAccount(state.waiting[0]?.account ?? '')
          : state.running < equalShare);
      if (isEligible && (!best || state.counter <= best.counter)) {
        best = state;
      }
    }
    return best?.waiting[0];
  }

  /** Returns the queued work with the earliest deadline. */
  findEarliestDeadline(): T | undefined {
    let earliest: T | undefined;
    for (const { waiting } of this.backlogged) {
      const head = waiting[0];
      if (head && (!earliest || head.deadlineAt < earliest.deadlineAt)) {
        earliest = head;
      }
    }
    return earliest;
  }

  /** Returns whether the account uses less than an equal share of the slots. */
  isBelowEqualShare(account: string, slots: number): boolean {
    const running = this.accounts.get(account)?.running ?? 0;
    return running < this.computeEqualShare(slots);
  }

  /** Starts the first work of an account: gives it a slot and charges its cost to the account. */
  startWork(work: T): void {
    const state = this.accounts.get(work.account);
    if (state?.waiting[0] !== work) {
      return;
    }
    state.waiting.shift();
    state.running += 1;
    this.lastCounter = state.counter;
    state.counter += work.cost / this.getWeight(work.account);
    this.noteDequeued(state);
  }

  remove(work: T): boolean {
    const state = this.accounts.get(work.account);
    const index = state?.waiting.indexOf(work) ?? -1;
    if (!state || index < 0) {
      return false;
    }
    state.waiting.splice(index, 1);
    this.noteDequeued(state);
    return true;
  }

  /**
   * Releases the slot of ended work, and corrects the counter of its account by
   * the difference between the actual and the estimated cost.
   */
  finish(work: T, cost: number): void {
    const state = this.accounts.get(work.account);
    if (state) {
      state.running -= 1;
      this.updateActive(state);
      state.counter += (cost - work.cost) / this.getWeight(work.account);
    }
  }

  list(): readonly T[] {
    return [...this.backlogged].flatMap(state => state.waiting);
  }

  private computeEqualShare(slots: number): number {
    return slots / Math.max(1, this.active.size);
  }

  // Returns the lowest counter of the waiting accounts. `lastCounter` may be too
  // high, as cost corrections of ended work can have lowered counters since.
  private findLowestCounter(): number {
    let lowest = Infinity;
    for (const { counter } of this.backlogged) {
      lowest = Math.min(lowest, counter);
    }
    return lowest === Infinity ? this.lastCounter : lowest;
  }

  private noteDequeued(state: AccountState<T>): void {
    this.count -= 1;
    if (state.waiting.length === 0) {
      this.backlogged.delete(state);
    }
    this.updateActive(state);
  }

  private updateActive(state: AccountState<T>): void {
    if (state.running > 0 || state.waiting.length > 0) {
      this.active.add(state);
    } else {
      this.active.delete(state);
    }
  }

  private getOrCreateAccount(account: string): AccountState<T> {
    const known = this.accounts.get(account);
    if (known) {
      return known;
    }
    if (this.accounts.size > maxIdleAccounts + this.backlogged.size) {
      this.dropIdleAccounts();
    }
    const state: AccountState<T> = {
      counter: this.lastCounter,
      running: 0,
      waiting: [],
    };
    this.accounts.set(account, state);
    return state;
  }

  private dropIdleAccounts(): void {
    for (const [account, state] of this.accounts) {
      if (!this.active.has(state) && state.counter <= this.lastCounter) {
        this.accounts.delete(account);
      }
    }
  }
}

// Returns the index after all work whose deadline is not later.
const findInsertIndex = <T extends WaitingWork>(
  waiting: readonly T[],
  work: T,
): number => {
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((waiting[middle]?.deadlineAt ?? 0) <= work.deadlineAt) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
};
