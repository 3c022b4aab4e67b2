/**
 * A retry budget: limits retries to a share of the requests.
 *
 * Each request adds to the budget and each retry takes from it, so that the
 * failure of many servers does not multiply the load on the others. Part of the
 * budget is reserved for the more urgent ranks.
 */
import type { Milliseconds } from '@lycheetally/common';
import { BoundedRetry } from '../retry.js';
import type { RequestView } from '../types.js';

export interface RetryBudgetSettings {
  /** Retries allowed per request, from 0 to 1. */
  readonly ratio: number;
  /** Maximum number of retries in the budget. */
  readonly maxBalance: number;
}

export const defaultRetryBudget: RetryBudgetSettings = {
  ratio: 0.1,
  maxBalance: 200,
};

/** Share of the maximum budget that each step of urgency leaves to the more urgent ranks. */
const reservedSharePerStep = 0.25;

export class BudgetedRetry extends BoundedRetry {
  private balance: number;

  constructor(private readonly settings = defaultRetryBudget) {
    super();
    this.balance = settings.maxBalance;
  }

  override mayRetry(request: RequestView, now: Milliseconds): boolean {
    const { maxBalance } = this.settings;
    const reservedShare = Math.min(
      1,
      (request.urgency ?? 0) * reservedSharePerStep,
    );
    const isWithinBudget = this.balance - 1 >= maxBalance * reservedShare;
    return isWithinBudget && super.mayRetry(request, now);
  }

  override noteRequest(): void {
    const { ratio, maxBalance } = this.settings;
    this.balance = Math.min(maxBalance, this.balance + ratio);
  }

  override noteRetry(): void {
    this.balance -= 1;
  }
}
