/**
 * A retry budget that several gateways share.
 *
 * In each sliding window, the retries sent to a service are at most a ratio of
 * its calls plus a fixed slack. Each gateway counts its own calls and uses only
 * its share of the slack, so the limit holds for the sum over all gateways
 * without any communication between them.
 */
import type { Milliseconds } from '@lycheetally/common';
import { BoundedRetry } from '../retry.js';
import type { RequestView } from '../types.js';

export interface SlidingBudgetSettings {
  /** Retries allowed per call in the window. */
  readonly ratio: number;
  /** Retries allowed in addition to the ratio, over all gateways. */
  readonly slack: number;
  readonly windowMs: Milliseconds;
}

/** Fraction of the budget that is used; the rest is a margin for gateways that join or leave. */
const usableFraction = 0.85;

/** A share of the slack that was assigned to this gateway. */
interface AssignedShare {
  readonly share: number;
  /** Undefined while the share is the current one. */
  readonly replacedAt: Milliseconds | undefined;
}

interface ServiceWindow {
  readonly calls: Milliseconds[];
  readonly retries: Milliseconds[];
}

export class SlidingRetryBudget extends BoundedRetry {
  /** Shares assigned within the window, newest last; the smallest one applies. */
  private shares: readonly AssignedShare[] = [
    { share: 0, replacedAt: undefined },
  ];
  private readonly windows = new Map<string, ServiceWindow>();

  constructor(private readonly settings: SlidingBudgetSettings) {
    super();
  }

  /**
   * Sets this gateway's share of the slack, from 0 to 1. A larger share takes
   * effect one window later, because the gateway that had it before may have
   * used it within the current window.
   */
  setShare(share: number, now: Milliseconds): void {
    const previous = this.shares.map(each => ({
      ...each,
      replacedAt: each.replacedAt ?? now,
    }));
    this.shares = [...previous, { share, replacedAt: undefined }];
  }

  override mayRetry(request: RequestView, now: Milliseconds): boolean {
    return (
      this.countRemaining(request.service, now) >= 1 &&
      super.mayRetry(request, now)
    );
  }

  override noteRequest(request: RequestView, now: Milliseconds): void {
    this.getWindow(request.service, now).calls.push(now);
  }

  override noteRetry(request: RequestView, now: Milliseconds): void {
    this.getWindow(request.service, now).retries.push(now);
  }

  override countRemaining(service: string, now: Milliseconds): number {
    const { ratio, slack } = this.settings;
    const { calls, retries } = this.getWindow(service, now);
    const allowed =
      ratio * calls.length + slack * this.computeEffectiveShare(now);
    return allowed * usableFraction - retries.length;
  }

  private computeEffectiveShare(now: Milliseconds): number {
    const windowStart = now - this.settings.windowMs;
    this.shares = this.shares.filter(
      ({ replacedAt }) => (replacedAt ?? now) >= windowStart,
    );
    return Math.min(...this.shares.map(({ share }) => share));
  }

  private getWindow(service: string, now: Milliseconds): ServiceWindow {
    let window = this.windows.get(service);
    if (!window) {
      window = { calls: [], retries: [] };
      this.windows.set(service, window);
    }
    const windowStart = now - this.settings.windowMs;
    dropBefore(window.calls, windowStart);
    dropBefore(window.retries, windowStart);
    return window;
  }
}

const dropBefore = (times: Milliseconds[], start: Milliseconds): void => {
  const kept = times.findIndex(time => time >= start);
  times.splice(0, kept < 0 ? times.length : kept);
};
