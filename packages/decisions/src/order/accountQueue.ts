/**
 * The waiting work of one rank, fair between accounts by weighted token cost.
 *
 * Each account has a counter that grows with the cost of its started work over
 * its weight; the account with the lowest counter goes next. An account that
 * was idle starts at the lowest counter that waits, so that idle time earns
 * nothing. Inside an account the earliest deadline goes first.
 */
import type { WaitingWork } from '../workOrder.js';

interface AccountState<T> {
  counter: number;
  /** Pieces of work that hold a slot. */
  running: number;
  /** Sorted by deadline. */
  readonly waiting: T[];
}

/** Returns the weight of an account; larger weights get more. */
export type AccountWeight = (account: string) => number;

/** Idle accounts kept before those that hold no debt are forgotten. */
const maxIdleAccounts = 1_024;

export class AccountQueue<T extends WaitingWork> {
  private readonly accounts = new Map<string, AccountState<T>>();
  private readonly backlogged = new Set<AccountState<T>>();
  /** Accounts that wait or hold a slot. */
  private readonly active = new Set<AccountState<T>>();
  private lastCounter = 0;
  private count = 0;

  constructor(private readonly weightOf: AccountWeight) {}

  get size(): number {
    return this.count;
  }

  add(work: T): void {
    const state = this.openAccount(work.account);
    if (state.waiting.length === 0) {
      state.counter = Math.max(state.counter, this.computeStart());
      this.backlogged.add(state);
      this.active.add(state);
    }
    state.waiting.splice(findPlace(state.waiting, work), 0, work);
    this.count += 1;
  }

  /**
   * Finds the next work of the account that has had least. Without
   * `allowsHeavy`, accounts that hold an equal part of the slots or
   * more are passed over.
   */
  findNext(allowsHeavy = true, slots = Infinity): T | undefined {
    const lightBelow = this.computeLightBound(slots);
    let best: AccountState<T> | undefined;
    for (const state of this.backlogged) {
      const isChosen = allowsHeavy || state.running < lightBelow;
      if (isChosen && (!best || state.counter <= best.counter)) {
        best = state;
      }
    }
    return best?.waiting[0];
  }

  /** Returns the waiting work with the earliest deadline. */
  findEarliest(): T | undefined {
    let earliest: T | undefined;
    for (const { waiting } of this.backlogged) {
      const head = waiting[0];
      if (head && (!earliest || head.deadlineAt < earliest.deadlineAt)) {
        earliest = head;
      }
    }
    return earliest;
  }

  /** Says whether the account holds less than an equal part of the slots. */
  isLight(account: string, slots: number): boolean {
    const running = this.accounts.get(account)?.running ?? 0;
    return running < this.computeLightBound(slots);
  }

  /** Takes work that was found; its account pays for it. */
  takeWork(work: T): void {
    const state = this.accounts.get(work.account);
    if (state?.waiting[0] !== work) {
      return;
    }
    state.waiting.shift();
    state.running += 1;
    this.lastCounter = state.counter;
    state.counter += work.cost / this.weightOf(work.account);
    this.noteTaken(state);
  }

  remove(work: T): boolean {
    const state = this.accounts.get(work.account);
    const index = state?.waiting.indexOf(work) ?? -1;
    if (!state || index < 0) {
      return false;
    }
    state.waiting.splice(index, 1);
    this.noteTaken(state);
    return true;
  }

  /**
   * Takes ended work's slot back, and adds the difference between the true and the estimated
   * cost to its account.
   */
  settle(work: T, cost: number): void {
    const state = this.accounts.get(work.account);
    if (state) {
      state.running -= 1;
      this.updateActive(state);
      state.counter += (cost - work.cost) / this.weightOf(work.account);
    }
  }

  list(): readonly T[] {
    return [...this.backlogged].flatMap(state => state.waiting);
  }

  private computeLightBound(slots: number): number {
    return slots / Math.max(1, this.active.size);
  }

  // The lowest counter that waits: corrections of ended work may have moved it
  // back since the last work was taken.
  private computeStart(): number {
    let lowest = Infinity;
    for (const { counter } of this.backlogged) {
      lowest = Math.min(lowest, counter);
    }
    return lowest === Infinity ? this.lastCounter : lowest;
  }

  private noteTaken(state: AccountState<T>): void {
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

  private openAccount(account: string): AccountState<T> {
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

// Index after all work whose deadline is not later.
const findPlace = <T extends WaitingWork>(
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
