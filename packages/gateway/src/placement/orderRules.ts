/** How long an order counts, and when placement plans besides its interval. */
import type { Milliseconds } from '@lycheetally/common';
import { RepairMode } from '@lycheetally/decisions';
import { layerLoadTimeoutMs } from '../constants.js';
import { committedLoadTimeoutMs, maxRepeatAgeMs } from './constants.js';

/** Strategy for orders whose answer or effect is awaited. */
export abstract class OrderRules {
  /** Time after which an accepted order counts as lost if its server has not announced the layers. */
  abstract readonly loadTimeoutMs: Milliseconds;
  /** Whether an order ends when its server restarts, which then holds nothing. */
  abstract readonly endsAtRestart: boolean;
  /** Whether placement plans right after a loss. */
  abstract readonly wantsPlanAtLoss: boolean;
  /** Whether an order of that age that got no answer is sent again, so that its server gets no other one. */
  abstract mayRepeat(ageMs: Milliseconds): boolean;
}

/** Gives each order up early; the next plan may give its server another one. */
export class ContinuousOrders extends OrderRules {
  override readonly loadTimeoutMs = layerLoadTimeoutMs;
  override readonly endsAtRestart = false;
  override readonly wantsPlanAtLoss = false;

  override mayRepeat(): boolean {
    return false;
  }
}

/** Keeps to each order until its server has had time to carry it out, or has restarted. */
export class CommittedOrders extends OrderRules {
  override readonly loadTimeoutMs = committedLoadTimeoutMs;
  override readonly endsAtRestart = true;
  override readonly wantsPlanAtLoss = true;

  override mayRepeat(ageMs: Milliseconds): boolean {
    return ageMs < maxRepeatAgeMs;
  }
}

export const createOrderRules = (mode: RepairMode): OrderRules =>
  mode === RepairMode.Committed
    ? new CommittedOrders()
    : new ContinuousOrders();
