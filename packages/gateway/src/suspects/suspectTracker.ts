/**
 * What a gateway knows about parts of prompts that may crash backend servers.
 *
 * Calls ask before each attempt and report how attempts end; gateways exchange
 * what they saw as records.
 */
import type { Milliseconds } from '@lycheetally/common';

/** A call in the form that the tracker takes. */
export interface TracedCall {
  readonly requestId: string;
  readonly service: string;
  /** Ids of the prompt's parts, without the last one, which belongs to the call itself. */
  readonly parts: readonly string[];
}

/** A backend server at which an attempt broke. */
export interface BrokenServer {
  readonly serverId: string;
  /** Distinguishes the runs of one server. */
  readonly incarnation: number;
}

/** Whether an attempt may be sent, and if not, which part forbids it. */
export type SuspectDecision =
  | { readonly isAllowed: true }
  | {
      readonly isAllowed: false;
      readonly part: string;
      readonly retryAfterMs: Milliseconds;
    };

/** One crash at which a call with the part had not begun to be answered. */
export interface CrashSighting {
  /** Names the server and its run, so that sightings of several gateways count once. */
  readonly crash: string;
  readonly requestId: string;
  readonly ageMs: Milliseconds;
}

/** What gateways tell each other about one part; ages instead of times, since clocks differ. */
export interface SuspectRecord {
  readonly service: string;
  readonly part: string;
  readonly sightings: readonly CrashSighting[];
  /** Time since an answer on the part was last written, if that was seen. */
  readonly servedAgeMs?: Milliseconds | undefined;
  /** Time since calls with the part began to be refused, if they are. */
  readonly refusedAgeMs?: Milliseconds | undefined;
}

export abstract class SuspectTracker {
  /** Whether a call may be sent to a server for the first time. */
  abstract decideFirstAttempt(
    call: TracedCall,
    now: Milliseconds,
  ): SuspectDecision;

  /** Whether a call whose attempt broke may be sent to another server. */
  abstract decideRepeat(call: TracedCall, now: Milliseconds): SuspectDecision;

  /** Records that a server closed the connection before it had answered the call with two events. */
  abstract noteBroken(
    call: TracedCall,
    server: BrokenServer,
    now: Milliseconds,
  ): void;

  /** Records that a server writes, or wrote, an answer to the call. */
  abstract noteServed(call: TracedCall, now: Milliseconds): void;

  /** Records of all tracked parts, for another gateway. */
  abstract listRecords(now: Milliseconds): readonly SuspectRecord[];

  /** Adds what another gateway saw. */
  abstract mergeRecords(
    records: readonly SuspectRecord[],
    now: Milliseconds,
  ): void;

  /** Number that grows with each change that other gateways should learn of soon. */
  abstract get revision(): number;
}
