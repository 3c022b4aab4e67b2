/**
 * Blames a whole call that crashed one server after another.
 *
 * What cannot be chance is the order: each server is sent the call only after
 * the server before crashed with it, and no answer comes in between. This needs
 * neither answers to other calls, which a service of three servers may not
 * write while two of them restart, nor several requests, since the same one
 * comes again.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { FleetTrouble } from '../trouble/fleetTrouble.js';
import {
  BlamePolicy,
  Suspicion,
  countOwnCrashes,
  type RepeatedCrash,
  type SuspectCrash,
} from './blamePolicy.js';
import { countSteps, maxNewsDelayMs } from './crashSteps.js';

export interface CallThresholds {
  readonly minCrashes: number;
  /** See `countSteps`; the crashes of one step may have another cause. */
  readonly minSteps: number;
  /** Steps that are enough beside many crashes without the call. */
  readonly minStepsInStorm: number;
  /** Share of the crashes at the time of one, below which it has another cause: a call crashes its own server only. */
  readonly minPresence: number;
  /** Share of the service's crashes since the first one, below which they may have another cause. */
  readonly minShare: number;
  readonly newsDelayMs: Milliseconds;
}

export const defaultCallThresholds: CallThresholds = {
  minCrashes: 3,
  minSteps: 2,
  minStepsInStorm: 5,
  minPresence: 0.6,
  minShare: 0.25,
  newsDelayMs: maxNewsDelayMs,
};

/** A call that crashes servers must not begin anew within a day. */
const lifetimeMs = 24 * 3_600_000;

/** Times until the trials; a wrong verdict concerns one call of one caller, and each trial may cost a server. */
const trialIntervalsMs: readonly Milliseconds[] = [60_000, 600_000];

export class UnservedCall extends BlamePolicy {
  override readonly lifetimeMs = lifetimeMs;
  override readonly sendIntervalMs = 0;
  override readonly isPlaced = true;

  constructor(private readonly thresholds = defaultCallThresholds) {
    super();
  }

  override decideSuspicion(crashes: readonly SuspectCrash[]): Suspicion {
    if (crashes.length === 0) {
      return Suspicion.None;
    }
    return this.isEvident(crashes) || this.isEvidentInStorm(crashes)
      ? Suspicion.Blamed
      : Suspicion.Suspected;
  }

  /** Trouble of the fleet explains a crash in it. All count once they are as many as a verdict needs, so that it comes no later. */
  override listCounted<C extends RepeatedCrash>(
    crashes: readonly C[],
    trouble: FleetTrouble,
  ): readonly C[] {
    return this.mayHold(crashes.length)
      ? crashes
      : crashes.filter(({ at }) => !trouble.matches(at));
  }

  override mayHold(crashes: number): boolean {
    return crashes >= this.thresholds.minCrashes;
  }

  /** A call is repeated once if its kind crashed servers in one step, since it may have been beside the cause; equal calls may have been beside it, too. */
  override mayRepeat(
    suspicion: Suspicion,
    crashes: readonly RepeatedCrash[],
    requestId: string,
  ): boolean {
    return (
      suspicion !== Suspicion.Blamed &&
      countOwnCrashes(crashes, requestId) <= 1 &&
      countSteps(crashes, this.thresholds.newsDelayMs) <= 1
    );
  }

  override computeTrialInterval(failedTrials: number): Milliseconds {
    return trialIntervalsMs[failedTrials] ?? Infinity;
  }

  private isEvident(crashes: readonly SuspectCrash[]): boolean {
    const { minCrashes, minSteps, minPresence, minShare, newsDelayMs } =
      this.thresholds;
    const counted = crashes.filter(({ presence }) => presence >= minPresence);
    return (
      counted.length >= minCrashes &&
      countSteps(counted, newsDelayMs) >= minSteps &&
      computeShare(crashes) >= minShare
    );
  }

  private isEvidentInStorm(crashes: readonly SuspectCrash[]): boolean {
    const { minStepsInStorm, newsDelayMs } = this.thresholds;
    return countSteps(crashes, newsDelayMs) >= minStepsInStorm;
  }
}

/** Share of the service's crashes since the first one at which the call was present. */
const computeShare = (crashes: readonly SuspectCrash[]): number =>
  crashes.length / Math.max(crashes[0]?.serviceCrashes ?? 0, crashes.length);
