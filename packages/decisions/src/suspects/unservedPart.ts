/** Blames a part of prompts on which no answer was written through several separate crashes, while others were. */
import type { Milliseconds } from '@lycheetally/common';
import {
  BlamePolicy,
  Suspicion,
  countOwnCrashes,
  type RepeatedCrash,
  type SuspectCrash,
} from './blamePolicy.js';
import { countMoments, crashMomentMs } from './crashSteps.js';

/** How long a crash counts against a part on which no answer is written. */
export const sightingLifetimeMs = 120_000;

/** Interval between calls with a suspected part; further crashes within it prove nothing. */
export const suspectIntervalMs = 300;

/** Time until the first trial of a refused part; a wrong verdict does not last longer. */
export const firstTrialMs = 20_000;

/** Time until the next trial; doubles with each trial that crashed a server. */
export const trialIntervalMs = 120_000;

/** Longest time between two trials. */
export const maxTrialIntervalMs = 960_000;

/** Servers after whose crashes a call is not repeated. */
const maxCrashesPerCall = 2;

export interface BlameThresholds {
  readonly minCrashes: number;
  /** Separate moments of crashes; the crashes of one moment may have a common cause, such as a power failure. */
  readonly minMoments: number;
  /** Moments from which a part is suspected. */
  readonly minSuspectMoments: number;
  readonly minRequests: number;
  /** Time within which the service must write other answers after a crash; if it writes none, the fault is a wider one. */
  readonly maxPauseMs: Milliseconds;
  readonly momentMs: Milliseconds;
  /** See `SuspectCrash.presence`; many crashes without the part have another cause. */
  readonly minPresence: number;
  /** Time since the first crash in which news of answers elsewhere arrive. */
  readonly settleMs: Milliseconds;
}

export const defaultBlameThresholds: BlameThresholds = {
  minCrashes: 3,
  minMoments: 3,
  minSuspectMoments: 2,
  minRequests: 3,
  maxPauseMs: 1_500,
  momentMs: crashMomentMs,
  minPresence: 0.25,
  settleMs: 1_000,
};

/**
 * Trouble of the whole fleet excuses no part: a call that is repeated in it adds crashes to the sound
 * parts that it has in common with others, which led to wrong verdicts in emulated storms.
 */
export class UnservedPart extends BlamePolicy {
  override readonly lifetimeMs = sightingLifetimeMs;
  override readonly sendIntervalMs = suspectIntervalMs;
  override readonly isPlaced = false;

  constructor(private readonly thresholds = defaultBlameThresholds) {
    super();
  }

  override decideSuspicion(
    crashes: readonly SuspectCrash[],
    now: Milliseconds,
  ): Suspicion {
    const { thresholds } = this;
    const counted = crashes.filter(
      ({ servedAfterMs, presence }) =>
        servedAfterMs <= thresholds.maxPauseMs &&
        presence >= thresholds.minPresence,
    );
    const moments = countMoments(counted, thresholds.momentMs);
    if (moments < thresholds.minSuspectMoments) {
      return Suspicion.None;
    }
    const requests = new Set(counted.map(({ requestId }) => requestId)).size;
    const isBlamed =
      counted.length >= thresholds.minCrashes &&
      moments >= thresholds.minMoments &&
      requests >= thresholds.minRequests &&
      now - (counted[0]?.at ?? now) >= thresholds.settleMs;
    return isBlamed ? Suspicion.Blamed : Suspicion.Suspected;
  }

  override mayHold(crashes: number): boolean {
    return crashes >= this.thresholds.minCrashes;
  }

  override mayRepeat(
    suspicion: Suspicion,
    crashes: readonly RepeatedCrash[],
    requestId: string,
  ): boolean {
    return (
      suspicion === Suspicion.None &&
      countOwnCrashes(crashes, requestId) < maxCrashesPerCall
    );
  }

  override computeTrialInterval(failedTrials: number): Milliseconds {
    return failedTrials === 0
      ? firstTrialMs
      : Math.min(maxTrialIntervalMs, trialIntervalMs * 2 ** (failedTrials - 1));
  }
}
