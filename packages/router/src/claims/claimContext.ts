/** The claim of one attempt of a request: its context and the events of its chart. */
import { createHash } from 'node:crypto';
import type { ChartInstance, ChartTimers } from '@lycheetally/charts';
import type { Milliseconds, Result, TypedError } from '@lycheetally/common';
import type {
  AnyClaimRecord,
  ClaimEndRecord,
  ClaimRecord,
  KeyState,
  Route,
  TakeoverRecord,
} from '@lycheetally/decisions';
import type { AttemptRef, ModelWork, PlainWork } from '@lycheetally/protocol';
import type { EventLog } from '../eventLog.js';
import type { ClaimLog } from './claimLog.js';
import { KeyWatcher } from './claimIndex.js';
import type { ClaimStream } from './claimStream.js';

/** Events of the chart `claim`. */
export type ClaimEvent =
  | {
      readonly type:
        | 'KEY_FREE'
        | 'KEY_HELD'
        | 'KEY_ENDED'
        | 'ROUTED'
        | 'WON'
        | 'LOST'
        | 'KEY_CHANGED'
        | 'REVOKED'
        | 'RUNNING'
        | 'OUTCOME_LOST'
        | 'WITHDRAW';
    }
  | { readonly type: 'REFUSED' | 'NOT_APPENDED'; readonly error: TypedError }
  | { readonly type: 'RAN'; readonly end: ClaimEndRecord };

/** Result of sending a message to one incarnation of an agent. */
export const SendResult = {
  Sent: 'sent',
  /** The agent is not connected. */
  Unreachable: 'unreachable',
  /** The agent has restarted since. */
  Restarted: 'restarted',
} as const;
export type SendResult = (typeof SendResult)[keyof typeof SendResult];

/** Services that an entry provides to its claims. */
export interface ClaimServices {
  readonly timers: ChartTimers;
  readonly events: EventLog;
  readonly claimLog: ClaimLog;
  /**
   * Asks the agent of the claim that holds the key to revoke its attempt, or to
   * report that it runs or how it ended. The answer is sent to `claim`.
   */
  requestRevocation(
    holder: ClaimRecord | TakeoverRecord,
    claim: ClaimAttemptContext,
  ): SendResult;
}

/** Chooses the route of the claimed attempt and receives the result of the claim. */
export abstract class ClaimOwner {
  /** Chooses the servers of the attempt. Fails with `NoCapacity`. */
  abstract chooseRoute(now: Milliseconds): Result<Route>;
  /** The attempt holds the key and may be sent to the first server of the route. */
  abstract handleWon(route: Route, now: Milliseconds): void;
  /** An earlier attempt with the key has ended. */
  abstract handleEnded(end: ClaimEndRecord, now: Milliseconds): void;
  abstract handleNotRun(error: TypedError, now: Milliseconds): void;
  abstract handleUnknown(error: TypedError, now: Milliseconds): void;
}

/** The key that is claimed, and the attempt that claims it. */
export interface ClaimSubject {
  /** The key as the caller sent it. */
  readonly idempotencyKey: string;
  /** Hash of account, service and idempotency key. */
  readonly key: string;
  readonly bodyHash: string;
  readonly ref: AttemptRef;
}

export class ClaimAttemptContext extends KeyWatcher {
  instance: ChartInstance<ClaimAttemptContext, ClaimEvent> | undefined;
  readonly stream: ClaimStream;
  /** The claim or takeover that this request appended last. */
  ownRecord: ClaimRecord | TakeoverRecord | undefined;
  route: Route | undefined;
  /** The claim whose agent confirmed that it has not run and never will. */
  revokedClaimId: string | undefined;
  error: TypedError | undefined;
  /** The claim that its agent is queried about. */
  queriedClaim: ClaimRecord | TakeoverRecord | undefined;
  end: ClaimEndRecord | undefined;
  isOwnRecordRead = false;

  constructor(
    readonly services: ClaimServices,
    readonly owner: ClaimOwner,
    readonly subject: ClaimSubject,
  ) {
    super();
    this.stream = services.claimLog.getStream(subject.key);
  }

  get keyState(): KeyState | undefined {
    return this.stream.getState(this.subject.key);
  }

  start(now: Milliseconds): void {
    this.stream.addWatcher(this.subject.key, this);
    this.instance = this.services.claimLog.machine.createInstance(
      this,
      this.services.timers,
    );
    this.instance.start(now);
  }

  send(event: ClaimEvent, now: Milliseconds): void {
    this.instance?.send(event, now);
    if (this.instance?.isFinal) {
      this.stream.removeWatcher(this.subject.key, this);
    }
  }

  override handleRecord(
    record: AnyClaimRecord,
    state: KeyState | undefined,
    now: Milliseconds,
  ): void {
    if (record.kind !== 'end' && record.claimId === this.ownRecord?.claimId) {
      this.isOwnRecordRead = true;
      const isHolder = state?.claim.claimId === record.claimId;
      this.send({ type: isHolder ? 'WON' : 'LOST' }, now);
      return;
    }
    this.send({ type: 'KEY_CHANGED' }, now);
  }
}

/** Hashes the parts that identify a key. */
export const hashClaimKey = (
  account: string,
  service: string,
  idempotencyKey: string,
): string => hashParts([account, service, idempotencyKey]);

/** Hashes the content of a request, to detect a key that is reused for another request. */
export const hashClaimBody = (
  model: ModelWork | undefined,
  plain: PlainWork | undefined,
): string =>
  plain
    ? hashParts([plain.method, plain.path, plain.contentType, plain.body])
    : hashParts([model?.prompt ?? '', String(model?.maxTokens ?? 0)]);

const hashBytes = 18;

const hashParts = (parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${String(part.length)}:`).update(part);
  }
  return hash.digest().subarray(0, hashBytes).toString('base64url');
};
