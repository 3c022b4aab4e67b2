/**
 * Rules that decide which attempt may run for an idempotency key.
 *
 * Every entry applies the same records in offset order, so all agree on the claim
 * that holds a key: the first claim holds it, a takeover replaces the claim that
 * it names unless that one has run, and the holder's first end record is final.
 */
import type { Milliseconds, ValueOf } from '@lycheetally/common';
import { Outcome } from '../outcome.js';
import {
  ClaimRecordKind,
  type AnyClaimRecord,
  type ClaimEndRecord,
  type KeyState,
  type TakeoverRecord,
} from './claimRecords.js';

/** Milliseconds by which the clocks of two entries may differ. */
export const maxClockSkewMs = 60_000;

/** Says whether the claim that holds a key is older than the window. */
export const isExpired = (
  state: KeyState,
  now: Milliseconds,
  windowMs: Milliseconds,
): boolean => now - state.claim.at > windowMs;

/** Applies a record to the state of its key and returns the new state. */
export const applyClaimRecord = (
  state: KeyState | undefined,
  record: AnyClaimRecord,
  windowMs: Milliseconds,
): KeyState | undefined => {
  switch (record.kind) {
    case ClaimRecordKind.Claim:
      return state && !isExpired(state, record.at, windowMs)
        ? state
        : { claim: record, end: undefined };
    case ClaimRecordKind.Takeover:
      return state && mayReplace(state, record)
        ? { claim: record, end: undefined }
        : state;
    case ClaimRecordKind.End:
      return state?.claim.claimId === record.claimId && !state.end
        ? { claim: state.claim, end: record }
        : state;
  }
};

const mayReplace = (state: KeyState, takeover: TakeoverRecord): boolean =>
  state.claim.claimId === takeover.earlier &&
  state.claim.bodyHash === takeover.bodyHash &&
  hasNotRun(state.end);

const hasNotRun = (end: ClaimEndRecord | undefined): boolean =>
  end === undefined || end.outcome === Outcome.NotRun;

/** The next step of an entry for a key. */
export const ClaimStep = {
  /** Append a claim. */
  Claim: 'claim',
  /** Append a takeover of the claim that holds the key. */
  TakeOver: 'take-over',
  /** Wait for the end record of the claim that holds the key. */
  Follow: 'follow',
  /** Answer from the end record of the claim that holds the key. */
  Replay: 'replay',
  /** Refuse: the key was used with another body. */
  Conflict: 'conflict',
} as const;
export type ClaimStep = ValueOf<typeof ClaimStep>;

/** A request that claims a key, and the earlier claim of that key that was revoked for it, if any. */
export interface ClaimRequest {
  readonly bodyHash: string;
  /** The claim that its agent has revoked and will never run. */
  readonly revokedClaimId: string | undefined;
}

/** Decides the next step of an entry for a key. */
export const decideClaimStep = (
  state: KeyState | undefined,
  request: ClaimRequest,
  now: Milliseconds,
  windowMs: Milliseconds,
): ClaimStep => {
  if (!state || isExpired(state, now, windowMs)) {
    return ClaimStep.Claim;
  }
  if (state.claim.bodyHash !== request.bodyHash) {
    return ClaimStep.Conflict;
  }
  if (state.end && state.end.outcome !== Outcome.NotRun) {
    return ClaimStep.Replay;
  }
  const mayTakeOver =
    state.end ?? state.claim.claimId === request.revokedClaimId;
  return mayTakeOver ? ClaimStep.TakeOver : ClaimStep.Follow;
};

const uuidV7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-/i;

/** Returns the creation time of a key, which only a UUID of version 7 contains (RFC 9562). */
export const readKeyTime = (key: string): Milliseconds | undefined => {
  const match = uuidV7.exec(key);
  return match
    ? Number.parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16)
    : undefined;
};

/**
 * Says whether the creation time of a key is outside the window. A time in the
 * future is outside as well: the key would outlive its records. A key without a
 * creation time is never outside.
 */
export const isKeyOutsideWindow = (
  key: string,
  now: Milliseconds,
  windowMs: Milliseconds,
): boolean => {
  const createdAt = readKeyTime(key);
  return (
    createdAt !== undefined &&
    (now - createdAt > windowMs - maxClockSkewMs ||
      createdAt - now > maxClockSkewMs)
  );
};
