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
  /** Share of the service's crashes, at the time of a crash and since the first one, below which they have another cause. */
  readonly minPresence: number;
  readonly newsDelayMs: Milliseconds;
}

export const defaultCallThresholds: CallThresholds = {
  minCrashes: 3,
  minSteps: 2,
  minStepsInStorm: 5,
  minPresence: 0.25,
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
    const { thresholds } = this;
    const { minPresence } = thresholds;
    const isStorm = computePresence(crashes) < minPresence;
    const counted = crashes.filter(({ presence }) => presence >= minPresence);
    const minSteps = isStorm ? thresholds.minStepsInStorm : thresholds.minSteps;
    return counted.length >= thresholds.minCrashes &&
      countSteps(counted, thresholds.newsDelayMs) >= minSteps
      ? Suspicion.Blamed
      : Suspicion.Suspected;
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
}

/** Share of the service's crashes since the first one at which the call was present. */
const computePresence = (crashes: readonly SuspectCrash[]): number =>
  crashes.length / Math.max(crashes[0]?.serviceCrashes ?? 0, crashes.length);
