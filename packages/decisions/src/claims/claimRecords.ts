/** Records of the claims streams, and the state of a key that results from them. */
import type { Milliseconds, ValueOf } from '@lycheetally/common';
import type { Outcome } from '../outcome.js';

export const ClaimRecordKind = {
  Claim: 'claim',
  Takeover: 'takeover',
  End: 'end',
} as const;
export type ClaimRecordKind = ValueOf<typeof ClaimRecordKind>;

/** Claims the sole right of an attempt to run for its idempotency key. */
export interface ClaimRecord {
  readonly kind: typeof ClaimRecordKind.Claim;
  /** Hash of account, service and idempotency key. */
  readonly key: string;
  /** Differs for every claim and takeover. */
  readonly claimId: string;
  readonly requestId: string;
  readonly attempt: number;
  /** Hash of the request's content. */
  readonly bodyHash: string;
  /** The only backend server that the attempt may be sent to. */
  readonly serverId: string;
  /** Incarnation of that server's agent. */
  readonly incarnation: string;
  /** Time at the entry that wrote the record. */
  readonly at: Milliseconds;
}

/** Replaces an earlier claim whose attempt will never run. */
export interface TakeoverRecord extends Omit<ClaimRecord, 'kind'> {
  readonly kind: typeof ClaimRecordKind.Takeover;
  /** The claim that is replaced. */
  readonly earlier: string;
}

/** An answer that is kept for repeated requests. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64. */
  readonly body: string;
}

/** How the attempt of a claim ended. */
export interface ClaimEndRecord {
  readonly kind: typeof ClaimRecordKind.End;
  readonly key: string;
  readonly claimId: string;
  readonly outcome: Exclude<Outcome, 'unknown'>;
  /** Why the attempt did not complete; empty when it did. */
  readonly reason: string;
  /** Absent when there was none or it is too large to keep. */
  readonly answer?: KeptAnswer | undefined;
  readonly at: Milliseconds;
}

export type AnyClaimRecord = ClaimRecord | TakeoverRecord | ClaimEndRecord;

/** The state of a key after the records so far. */
export interface KeyState {
  /** The claim that holds the key. */
  readonly claim: ClaimRecord | TakeoverRecord;
  readonly end: ClaimEndRecord | undefined;
}
