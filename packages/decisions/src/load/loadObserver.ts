/** What an entry tells its policies of the course of its attempts. */
import type { Milliseconds } from '@lycheetally/common';
import type { Route } from '../routing.js';
import type { LoadReport } from './loadReport.js';

/** The facts of one attempt. */
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
  /** Milliseconds from the start to the end of the run; absent when it did not run. */
  readonly runMs: Milliseconds | undefined;
  readonly generatedTokens: number;
}

/** Is told of attempts and reports; the plain policies learn nothing. */
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

/** Learns nothing. */
export class NoObserver extends LoadObserver {
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
