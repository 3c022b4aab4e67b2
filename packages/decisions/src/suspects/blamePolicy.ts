/** Decides whether a part of prompts crashes the backend servers that begin to answer on it. */
import type { Milliseconds, ValueOf } from '@lycheetally/common';

/** How a part is regarded. */
export const Suspicion = {
  None: 'none',
  /** Calls with the part are sent sparingly and not repeated. */
  Suspected: 'suspected',
  /** Calls with the part are refused. */
  Blamed: 'blamed',
} as const;
export type Suspicion = ValueOf<typeof Suspicion>;

/** A crash of a server that had not begun to answer a call with the part. */
export interface SuspectCrash {
  readonly at: Milliseconds;
  readonly requestId: string;
  /** Time until the service is next known to have written an answer. */
  readonly servedAfterMs: Milliseconds;
  /** Share of the crashes about that time at which the part was present, from 0 to 1. */
  readonly presence: number;
}

/** Strategy that decides which parts are to blame. */
export abstract class BlamePolicy {
  /** Judges a part by the crashes since an answer on it was last written, oldest first. */
  abstract decideSuspicion(
    crashes: readonly SuspectCrash[],
    now: Milliseconds,
  ): Suspicion;

  /** Whether an earlier verdict, also of another gateway, holds with this many crashes. */
  abstract mayHold(crashes: number): boolean;
}

/** The baseline: no part is ever blamed. */
export class BlameNobody extends BlamePolicy {
  override decideSuspicion(): Suspicion {
    return Suspicion.None;
  }

  override mayHold(): boolean {
    return false;
  }
}

/** Crashes closer than this may have a common cause. */
export const crashMomentMs = 300;

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

/** Blames a part on which no answer was written through several separate crashes, while others were. */
export class UnservedPart extends BlamePolicy {
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
}

/** Counts the moments of crashes that are sorted by time; a moment begins with a crash and lasts `momentMs`. */
export const countMoments = (
  crashes: readonly Pick<SuspectCrash, 'at'>[],
  momentMs: Milliseconds,
): number => {
  let moments = 0;
  let endsAt = -Infinity;
  for (const { at } of crashes) {
    if (at >= endsAt) {
      moments += 1;
      endsAt = at + momentMs;
    }
  }
  return moments;
};

/** A part among those of the calls that a crash broke. */
export interface SuspectStanding {
  readonly crashCount: number;
  readonly isBlamed: boolean;
}

/** Whether a crash at which several parts were present is better explained by another of them. */
export const isExplained = (
  suspect: SuspectStanding,
  present: Iterable<SuspectStanding>,
): boolean => {
  for (const other of present) {
    if (
      other !== suspect &&
      (other.crashCount > suspect.crashCount ||
        (other.isBlamed && other.crashCount === suspect.crashCount))
    ) {
      return true;
    }
  }
  return false;
};
