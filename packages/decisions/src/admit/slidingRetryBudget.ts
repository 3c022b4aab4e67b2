/**
 * A retry budget that several gateways share.
 *
 * In each window that slides over time, the repeats sent to a service are at
 * most a ratio of its calls plus a slack. Each gateway keeps to its own calls
 * and to its share of the slack, so that the sum over all of them holds
 * without a message between them.
 */
import type { Milliseconds } from '@lycheetally/common';
import { BoundedRetry } from '../retry.js';
import type { RequestView } from '../types.js';

export interface SlidingBudgetSettings {
  /** Repeats allowed for each call in the window. */
  readonly ratio: number;
  /** Repeats allowed beside the ratio, over all gateways. */
  readonly slack: number;
  readonly windowMs: Milliseconds;
}

/** Part of the budget that is used; the rest covers gateways that join or leave. */
const usedPart = 0.85;

/** A share, and when it was replaced by another. */
interface HeldShare {
  readonly share: number;
  readonly until: Milliseconds | undefined;
}

interface ServiceWindow {
  readonly calls: Milliseconds[];
  readonly repeats: Milliseconds[];
}

export class SlidingRetryBudget extends BoundedRetry {
  /** Shares held, newest last; the smallest of the window counts. */
  private shares: readonly HeldShare[] = [{ share: 0, until: undefined }];
  private readonly windows = new Map<string, ServiceWindow>();

  constructor(private readonly settings: SlidingBudgetSettings) {
    super();
  }

  /**
   * Sets this gateway's share of the slack, from 0 to 1. A larger share counts
   * a window later: until then it may have been used by the gateway that had it.
   */
  setShare(share: number, now: Milliseconds): void {
    const held = this.shares.map(each => ({
      ...each,
      until: each.until ?? now,
    }));
    this.shares = [...held, { share, until: undefined }];
  }

  override mayRetry(request: RequestView, now: Milliseconds): boolean {
    return (
      this.countLeft(request.service, now) >= 1 && super.mayRetry(request, now)
    );
  }

  override noteRequest(request: RequestView, now: Milliseconds): void {
    this.getWindow(request.service, now).calls.push(now);
  }

  override noteRetry(request: RequestView, now: Milliseconds): void {
    this.getWindow(request.service, now).repeats.push(now);
  }

  /** Repeats that the service may still get now. */
  countLeft(service: string, now: Milliseconds): number {
    const { ratio, slack } = this.settings;
    const { calls, repeats } = this.getWindow(service, now);
    const allowed = ratio * calls.length + slack * this.findShare(now);
    return allowed * usedPart - repeats.length;
  }

  private findShare(now: Milliseconds): number {
    const from = now - this.settings.windowMs;
    this.shares = this.shares.filter(({ until }) => (until ?? now) >= from);
    return Math.min(...this.shares.map(({ share }) => share));
  }

  private getWindow(service: string, now: Milliseconds): ServiceWindow {
    let window = this.windows.get(service);
    if (!window) {
      window = { calls: [], repeats: [] };
      this.windows.set(service, window);
    }
    const from = now - this.settings.windowMs;
    dropBefore(window.calls, from);
    dropBefore(window.repeats, from);
    return window;
  }
}

const dropBefore = (times: Milliseconds[], from: Milliseconds): void => {
  const kept = times.findIndex(time => time >= from);
  times.splice(0, kept < 0 ? times.length : kept);
};
