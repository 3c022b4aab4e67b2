/** The actions of the chart `claim`; each function has the name of its action. */
import {
  ChartName,
  bindChart,
  type ChartAction,
  type ChartMachine,
} from '@lycheetally/charts';
import { ErrorKind, TypedError, type Result } from '@lycheetally/common';
import {
  ClaimRecordKind,
  ClaimStep,
  Outcome,
  decideClaimStep,
  isKeyOutsideWindow,
  type ClaimRecord,
  type TakeoverRecord,
} from '@lycheetally/decisions';
import {
  claimQueryTimeoutMs,
  claimQueryIntervalMs,
  claimHolderWaitMs,
} from '../constants.js';
import {
  SendResult,
  type ClaimAttemptContext,
  type ClaimEvent,
} from './claimContext.js';

type ClaimAction = ChartAction<ClaimAttemptContext, ClaimEvent>;

const createLogUnavailableError = (): TypedError =>
  new TypedError(
    ErrorKind.PlatformUnavailable,
    'the log that stores idempotency keys is unavailable',
    'send the request again with the same key later',
  );

const createKeyReusedError = (): TypedError =>
  new TypedError(
    ErrorKind.KeyRefused,
    'the idempotency key was already used with a different request',
    'send this request with a different key',
  );

const createKeyOutsideWindowError = (windowMs: number): TypedError =>
  new TypedError(
    ErrorKind.KeyRefused,
    `the idempotency key was not created within the last ${String(windowMs / 1_000)} s`,
    'check whether the first request took effect, then send a new key',
  );

export const createOutcomeUnknownError = (): TypedError =>
  new TypedError(
    ErrorKind.ConnectionLost,
    'an earlier request with this key may have run, but its agent does not report how it ended',
    'check its effect before sending a new key',
  );

export const decideNextStep: ClaimAction = (claim, _, now) => {
  const { claimLog } = claim.services;
  const { windowMs } = claimLog.settings;
  if (isKeyOutsideWindow(claim.subject.idempotencyKey, now, windowMs)) {
    const error = createKeyOutsideWindowError(windowMs);
    claim.send({ type: 'REFUSED', error }, now);
    return;
  }
  if (!claim.stream.isCurrent) {
    claim.send({ type: 'REFUSED', error: createLogUnavailableError() }, now);
    return;
  }
  const request = {
    bodyHash: claim.subject.bodyHash,
    revokedClaimId: claim.revokedClaimId,
  };
  const step = decideClaimStep(claim.keyState, request, now, windowMs);
  claim.send(stepEvents[step](), now);
};

const stepEvents: Readonly<Record<ClaimStep, () => ClaimEvent>> = {
  [ClaimStep.Claim]: () => ({ type: 'KEY_FREE' }),
  [ClaimStep.TakeOver]: () => ({ type: 'KEY_FREE' }),
  [ClaimStep.Follow]: () => ({ type: 'KEY_HELD' }),
  [ClaimStep.Replay]: () => ({ type: 'KEY_ENDED' }),
  [ClaimStep.Conflict]: () => ({
    type: 'REFUSED',
    error: createKeyReusedError(),
  }),
};

export const chooseServer: ClaimAction = (claim, _, now) => {
  const chosen = claim.owner.chooseRoute(now);
  if (chosen.err) {
    claim.send({ type: 'REFUSED', error: chosen.val }, now);
    return;
  }
  claim.route = chosen.val;
  claim.send({ type: 'ROUTED' }, now);
};

export const enqueueClaim: ClaimAction = (claim, _, now) => {
  claim.ownRecord = createRecord(claim, now);
  claim.isOwnRecordRead = false;
  const { ownRecord } = claim;
  claim.stream.enqueue(
    {
      record: ownRecord,
      isSettled: () => claim.isOwnRecordRead || claim.ownRecord !== ownRecord,
      handleMissing: later => {
        claim.send(
          { type: 'NOT_APPENDED', error: createLogUnavailableError() },
          later,
        );
        return false;
      },
    },
    now,
  );
};

const createRecord = (
  claim: ClaimAttemptContext,
  now: number,
): ClaimRecord | TakeoverRecord => {
  const { subject, keyState, route, ownRecord } = claim;
  const { requestId, attempt } = subject.ref;
  const tryNumber = ownRecord
    ? Number(ownRecord.claimId.split('/').at(-1)) + 1
    : 1;
  const common = {
    key: subject.key,
    claimId: [requestId, attempt, tryNumber].join('/'),
    requestId,
    attempt,
    bodyHash: subject.bodyHash,
    serverId: route?.[0]?.serverId ?? '',
    incarnation: route?.[0]?.incarnation ?? '',
    at: now,
  };
  const step = decideClaimStep(
    keyState,
    { bodyHash: subject.bodyHash, revokedClaimId: claim.revokedClaimId },
    now,
    claim.services.claimLog.settings.windowMs,
  );
  return keyState && step === ClaimStep.TakeOver
    ? {
        kind: ClaimRecordKind.Takeover,
        earlier: keyState.claim.claimId,
        ...common,
      }
    : { kind: ClaimRecordKind.Claim, ...common };
};

export const requestRevocation: ClaimAction = (claim, _, now) => {
  claim.queriedClaim = claim.keyState?.claim;
  if (!claim.queriedClaim) {
    return;
  }
  const sent = claim.services.requestRevocation(claim.queriedClaim, claim);
  if (sent === SendResult.Restarted) {
    claim.send({ type: 'OUTCOME_LOST' }, now);
  }
};

export const setError: ClaimAction = (claim, event) => {
  if (event && 'error' in event) {
    claim.error = event.error;
  }
};

export const noteRevocation: ClaimAction = claim => {
  claim.revokedClaimId = claim.queriedClaim?.claimId;
};

/** Records the end that the agent reported, in case the entry of the attempt has failed. */
export const recordEnd: ClaimAction = (claim, event, now) => {
  if (event?.type === 'RAN') {
    claim.end = event.end;
    claim.stream.appendEnd(event.end, now);
  }
};

export const recordNotRun: ClaimAction = (claim, _, now) => {
  if (claim.ownRecord) {
    claim.stream.appendEnd(
      {
        kind: ClaimRecordKind.End,
        key: claim.ownRecord.key,
        claimId: claim.ownRecord.claimId,
        outcome: Outcome.NotRun,
        reason: 'the request was withdrawn',
        at: now,
      },
      now,
    );
  }
};

export const reportWon: ClaimAction = (claim, _, now) => {
  claim.services.events.record('claim-won', now, claim.subject.ref);
  claim.owner.handleWon(claim.route ?? [], now);
};

export const reportEnded: ClaimAction = (claim, _, now) => {
  const end = claim.end ?? claim.keyState?.end;
  if (end) {
    claim.services.events.record('claim-replayed', now, claim.subject.ref);
    claim.owner.handleEnded(end, now);
  }
};

export const reportNotRun: ClaimAction = (claim, _, now) => {
  const error = claim.error ?? createLogUnavailableError();
  claim.services.events.record('claim-refused', now, claim.subject.ref);
  claim.owner.handleNotRun(error, now);
};

export const reportUnknown: ClaimAction = (claim, _, now) => {
  claim.services.events.record('claim-unknown', now, claim.subject.ref);
  claim.owner.handleUnknown(createOutcomeUnknownError(), now);
};

/** Binds the chart `claim`. Fails with `BadChart`. */
export const bindClaimChart = (): Result<
  ChartMachine<ClaimAttemptContext, ClaimEvent>
> =>
  bindChart<ClaimAttemptContext, ClaimEvent>(ChartName.Claim, {
    actions: {
      decideNextStep,
      chooseServer,
      enqueueClaim,
      requestRevocation,
      setError,
      noteRevocation,
      recordEnd,
      recordNotRun,
      reportWon,
      reportEnded,
      reportNotRun,
      reportUnknown,
    },
    guards: {},
    delays: {
      HOLDER_WAIT: () => claimHolderWaitMs,
      QUERY_INTERVAL: () => claimQueryIntervalMs,
      QUERY_TIMEOUT: () => claimQueryTimeoutMs,
    },
  });
