/**
 * Decides whether something that calls have in common, a suspect, crashes the
 * backend servers that begin to run them.
 *
 * A suspect is a part of prompts or a whole call; each kind has a policy.
 */
import type { FleetTrouble } from '../trouble/fleetTrouble.js';
import type { Milliseconds, ValueOf } from '@lycheetally/common';

/** How a suspect is regarded. */
export const Suspicion = {
  None: 'none',
  /** Calls are sent with care. */
  Suspected: 'suspected',
  /** Calls are refused. */
  Blamed: 'blamed',
} as const;
export type Suspicion = ValueOf<typeof Suspicion>;

/** A crash of a server that had not begun to answer a call with the suspect. */
export interface SuspectCrash {
  readonly at: Milliseconds;
  /** When the call was sent to the server. */
  readonly sentAt: Milliseconds;
  /** Whether the call ran through this gateway; the times of other crashes may be late by the delay of news. */
  readonly isOwn: boolean;
  readonly requestId: string;
  /** Time until the service is next known to have written an answer. */
  readonly servedAfterMs: Milliseconds;
  /** Share of the crashes about that time at which the suspect was present, from 0 to 1. */
  readonly presence: number;
  /** Crashes of the service from this one on, with whatever suspect. */
  readonly serviceCrashes: number;
}

/** What is known of a crash when a call that it broke is to be repeated. */
export type RepeatedCrash = Pick<
  SuspectCrash,
  'at' | 'sentAt' | 'isOwn' | 'requestId'
>;

/** Strategy that decides which suspects are to blame. */
export abstract class BlamePolicy {
  /** How long a crash counts while nothing is answered. */
  abstract readonly lifetimeMs: Milliseconds;

  /** Interval between calls of one gateway with a suspected one. */
  abstract readonly sendIntervalMs: Milliseconds;

  /** Whether all gateways send calls with a suspected one to the same server. */
  abstract readonly isPlaced: boolean;

  /** Judges a suspect by the crashes since it was last answered, oldest first. */
  abstract decideSuspicion(
    crashes: readonly SuspectCrash[],
    now: Milliseconds,
  ): Suspicion;

  /** Lists the crashes that count against something without a verdict, which may be fewer in trouble of the whole fleet. */
  listCounted<C extends RepeatedCrash>(
    crashes: readonly C[],
    _trouble: FleetTrouble,
  ): readonly C[] {
    return crashes;
  }

  /** Whether an earlier verdict, also of another gateway, holds with this many crashes. */
  abstract mayHold(crashes: number): boolean;

  /** Whether a call whose server crashed may be sent to another one; its last crash is among the crashes. */
  abstract mayRepeat(
    suspicion: Suspicion,
    crashes: readonly RepeatedCrash[],
    requestId: string,
  ): boolean;

  /** Returns the time until a blamed suspect is next tried; `Infinity` if it is not tried again. */
  abstract computeTrialInterval(failedTrials: number): Milliseconds;
}

/** The baseline: nothing is ever blamed. */
export class BlameNobody extends BlamePolicy {
  override readonly lifetimeMs = 0;
  override readonly sendIntervalMs = 0;
  override readonly isPlaced = false;

  override decideSuspicion(): Suspicion {
    return Suspicion.None;
  }

  override mayHold(): boolean {
    return false;
  }

  override mayRepeat(): boolean {
    return true;
  }

  override computeTrialInterval(): Milliseconds {
    return Infinity;
  }
}

/** Counts the crashes that a call caused or was beside. */
export const countOwnCrashes = (
  crashes: readonly Pick<SuspectCrash, 'requestId'>[],
  requestId: string,
): number => crashes.filter(crash => crash.requestId === requestId).length;

/** A suspect among those that were present at a crash. */
export interface SuspectStanding {
  readonly crashCount: number;
  readonly isBlamed: boolean;
}

/** Whether a crash at which several suspects were present is better explained by another of them. */
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
