/** Events of attempts and load reports, which an entry passes to its policies. */
import type { Milliseconds } from '@lycheetally/common';
import type { Route } from '../routing.js';
import type { LoadReport } from './loadReport.js';

/** The properties of one attempt. */
export interface AttemptFacts {
  readonly route: Route;
  readonly urgency: number;
  readonly account: string;
  /** Weight of the account; 1 when absent. */
  readonly accountWeight?: number | undefined;
  /** Estimated cost in token units. */
  readonly cost: number;
}

/** How an attempt ended. */
export interface AttemptEnd {
  readonly isComplete: boolean;
  /** The server that refused or failed the attempt. */
  readonly failedServerId: string | undefined;
  /** Duration of the run in milliseconds; undefined if the attempt did not run. */
  readonly runMs: Milliseconds | undefined;
  readonly generatedTokens: number;
}

/** Receives the events of attempts and the load reports. */
export abstract class LoadObserver {
  abstract noteReport(
    serverId: string,
    report: LoadReport,
    now: Milliseconds,
  ): void;
  abstract noteOffered(attempt: AttemptFacts, now: Milliseconds): void;
  abstract noteStarted(
    attempt: AttemptFacts,
    waitedMs: Milliseconds,
    now: Milliseconds,
  ): void;
  abstract noteEnded(
    attempt: AttemptFacts,
    end: AttemptEnd,
    now: Milliseconds,
  ): void;
}

/** Ignores all events, for policies that do not depend on load. */
export class NoopLoadObserver extends LoadObserver {
  override noteReport(): void {
    return;
  }

  override noteOffered(): void {
    return;
  }

  override noteStarted(): void {
    return;
  }

  override noteEnded(): void {
    return;
  }
}
