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
  readonly share: number;
  /** Maximum number of retries in the budget. */
  readonly maxSaved: number;
}

export const defaultRetryBudget: RetryBudgetSettings = {
  share: 0.1,
  maxSaved: 200,
};

/** Share of the maximum budget that each step of urgency leaves to the more urgent ranks. */
const reservedShare = 0.25;

export class BudgetedRetry extends BoundedRetry {
  private saved: number;

  constructor(private readonly settings = defaultRetryBudget) {
    super();
    this.saved = settings.maxSaved;
  }

  override mayRetry(request: RequestView, now: Milliseconds): boolean {
    const { maxSaved } = this.settings;
    const reserved = Math.min(1, (request.urgency ?? 0) * reservedShare);
    const isCovered = this.saved - 1 >= maxSaved * reserved;
    return isCovered && super.mayRetry(request, now);
  }

  override noteRequest(): void {
    const { share, maxSaved } = this.settings;
    this.saved = Math.min(maxSaved, this.saved + share);
  }

  override noteRetry(): void {
    this.saved -= 1;
  }
}
