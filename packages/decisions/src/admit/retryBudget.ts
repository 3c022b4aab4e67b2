/**
 * A retry budget: attempts after the first are at most a share of the requests.
 *
 * Requests earn budget and retries spend it, so that a failure of many servers
 * does not multiply the load on the rest. The least urgent ranks leave a part
 * of the budget to the more urgent.
 */
import type { Milliseconds } from '@lycheetally/common';
import { BoundedRetry } from '../retry.js';
import type { RequestView } from '../types.js';

export interface RetryBudgetSettings {
  /** Retries allowed for each request, from 0 to 1. */
  readonly share: number;
  /** The most retries that can be saved up. */
  readonly maxSaved: number;
}

export const defaultRetryBudget: RetryBudgetSettings = {
  share: 0.1,
  maxSaved: 200,
};

/** Share of the saved budget that each step of urgency leaves to those above it. */
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
