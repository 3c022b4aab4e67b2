/**
 * What a gateway knows about suspects: parts of prompts and whole calls that may crash
 * backend servers.
 *
 * Calls ask before each attempt and report how attempts end; gateways exchange
 * what they saw as records.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { CallIdentity } from './callIdentity.js';
import type { CallTrait } from './callTrait.js';

/** A call in the form that the tracker takes. */
export interface TracedCall {
  readonly requestId: string;
  readonly service: string;
  /** Ids of the prompt's parts, without the last one, which belongs to the call itself. */
  readonly parts: readonly string[];
  /** What a repetition of the same request has, too; absent if its body was not kept. */
  readonly identity?: CallIdentity;
}

/** One run of a backend server. */
export interface ServerRun {
  readonly serverId: string;
  /** Distinguishes the runs of one server. */
  readonly incarnation: number;
}

/** An attempt that its server broke. */
export interface BrokenAttempt extends ServerRun {
  /** When it was sent; the time of the crash if that is not known. */
  readonly sentAt?: Milliseconds;
}

/** An attempt that its server answers, or answered. */
export interface AnsweredAttempt extends ServerRun {
  readonly sentAt: Milliseconds;
}

/** Whether an attempt may be sent, and if not, which trait of the call forbids it. */
export type SuspectDecision =
  | {
      readonly isAllowed: true;
      /** Whether calls like it are refused, and this one finds out if they still crash servers. */
      readonly isTrial: boolean;
    }
  | {
      readonly isAllowed: false;
      readonly trait: CallTrait;
      readonly retryAfterMs: Milliseconds;
    };

/** The servers among which one is chosen. */
export interface PlacementChoice {
  /** Servers that may take the call now. */
  readonly candidates: readonly ServerRun[];
  /** Servers that may take calls of the service. */
  readonly usable: readonly ServerRun[];
  /** Servers that the service has in all. */
  readonly total: number;
}

/** Where a call may go. */
export type Placement =
  | { readonly isFree: true }
  | {
      readonly isFree: false;
      /** The server for it; `undefined` if none is to take it now. */
      readonly serverId: string | undefined;
    };

/** One crash at which a call with the trait had not begun to be answered. */
export interface CrashSighting {
  /** Names the server and its run, so that sightings of several gateways count once. */
  readonly crash: string;
  readonly requestId: string;
  readonly ageMs: Milliseconds;
  /** Time since the call was sent to the server; gateways of an earlier build do not tell it. */
  readonly sentAgeMs?: Milliseconds | undefined;
}

/** Names a suspect. */
export interface SuspectName {
  readonly service: string;
  /** Id of the trait, be it a part of prompts or a whole call. */
  readonly part: string;
}

/** What gateways tell each other about one suspect; ages instead of times, since clocks differ. */
export interface SuspectRecord extends SuspectName {
  readonly sightings: readonly CrashSighting[];
  /** Time since a call with the trait was last answered, if that was seen. */
  readonly servedAgeMs?: Milliseconds | undefined;
  /** Time since calls with the trait began to be refused, if they are. */
  readonly refusedAgeMs?: Milliseconds | undefined;
}

export abstract class SuspectTracker {
  /** Whether a call may be sent to a server for the first time. */
  abstract decideFirstAttempt(
    call: TracedCall,
    now: Milliseconds,
  ): SuspectDecision;

  /** Whether a call that has waited for a server may still be sent; news may have come meanwhile. */
  abstract decideDelayedAttempt(
    call: TracedCall,
    now: Milliseconds,
  ): SuspectDecision;

  /** Whether a call whose attempt broke may be sent to another server. */
  abstract decideRepeat(call: TracedCall, now: Milliseconds): SuspectDecision;

  /** Whether a call may run at two servers at once: nothing that it has in common with others is suspected. */
  abstract mayRunTwice(call: TracedCall): boolean;

  /** Chooses the server for a call with a suspected trait. */
  abstract choosePlacement(
    call: TracedCall,
    choice: PlacementChoice,
    now: Milliseconds,
  ): Placement;

  /** Estimates when crashed servers are back, for a call that is not sent to the last one; 0 if it is not held back. */
  abstract estimateHold(call: TracedCall, now: Milliseconds): Milliseconds;

  /** Records that a server closed the connection before it had answered the call with two events. */
  abstract noteBroken(
    call: TracedCall,
    attempt: BrokenAttempt,
    now: Milliseconds,
  ): void;

  /** Records that a server accepts connections after one was closed, so that it counts as living. */
  abstract noteAccepting(service: string, run: ServerRun): void;

  /** Records that a server writes, or wrote, an answer to the call. */
  abstract noteServed(
    call: TracedCall,
    now: Milliseconds,
    attempt?: AnsweredAttempt,
  ): void;

  /** Records of all suspects, for another gateway. */
  abstract listRecords(now: Milliseconds): readonly SuspectRecord[];

  /** The same of some suspects. */
  abstract listRecordsOf(
    suspects: readonly SuspectName[],
    now: Milliseconds,
  ): readonly SuspectRecord[];

  /** Whether there are records. */
  abstract hasRecords(now: Milliseconds): boolean;

  /** Adds what another gateway saw. */
  abstract mergeRecords(
    records: readonly SuspectRecord[],
    now: Milliseconds,
  ): void;

  /** Clears a suspect at an operator's request; returns whether it was known. */
  abstract clearSuspect(id: string, now: Milliseconds): boolean;

  /** Number that grows with each change that other gateways should learn of soon. */
  abstract get revision(): number;
}
