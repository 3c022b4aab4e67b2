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
  claimAskBoundMs,
  claimAskIntervalMs,
  claimPatienceMs,
} from '../constants.js';
import {
  AskResult,
  type ClaimAttemptContext,
  type ClaimEvent,
} from './claimContext.js';

type ClaimAction = ChartAction<ClaimAttemptContext, ClaimEvent>;

const createDownError = (): TypedError =>
  new TypedError(
    ErrorKind.PlatformUnavailable,
    'the log that stores idempotency keys is unavailable',
    'send the request again with the same key later',
  );

const createConflictError = (): TypedError =>
  new TypedError(
    ErrorKind.KeyRefused,
    'the idempotency key was already used with a different request',
    'send this request with a different key',
  );

const createWindowError = (windowMs: number): TypedError =>
  new TypedError(
    ErrorKind.KeyRefused,
    `the idempotency key was not created within the last ${String(windowMs / 1_000)} s`,
    'check whether the first request took effect, then send a new key',
  );

export const createUnknownError = (): TypedError =>
  new TypedError(
    ErrorKind.ConnectionLost,
    'an earlier request with this key may have run, but its agent does not report how it ended',
    'check its effect before sending a new key',
  );

export const findClaim: ClaimAction = (claim, _, now) => {
  const { book } = claim.services;
  const { windowMs } = book.settings;
  if (isKeyOutsideWindow(claim.subject.idempotencyKey, now, windowMs)) {
    const error = createWindowError(windowMs);
    claim.send({ type: 'REFUSED', error }, now);
    return;
  }
  if (!claim.stream.isCurrent) {
    claim.send({ type: 'REFUSED', error: createDownError() }, now);
    return;
  }
  const ask = {
    bodyHash: claim.subject.bodyHash,
    promisedClaimId: claim.promisedClaimId,
  };
  const step = decideClaimStep(claim.state, ask, now, windowMs);
  claim.send(stepEvents[step](), now);
};

const stepEvents: Readonly<Record<ClaimStep, () => ClaimEvent>> = {
  [ClaimStep.Claim]: () => ({ type: 'FREE' }),
  [ClaimStep.TakeOver]: () => ({ type: 'FREE' }),
  [ClaimStep.Follow]: () => ({ type: 'HELD' }),
  [ClaimStep.Replay]: () => ({ type: 'ENDED' }),
  [ClaimStep.Conflict]: () => ({
    type: 'REFUSED',
    error: createConflictError(),
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
  claim.own = createRecord(claim, now);
  claim.isSeen = false;
  const { own } = claim;
  claim.stream.enqueue(
    {
      record: own,
      isSeen: () => claim.isSeen || claim.own !== own,
      handleMissing: later => {
        claim.send({ type: 'MISSING', error: createDownError() }, later);
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
  const { subject, state, route, own } = claim;
  const { requestId, attempt } = subject.ref;
  const tries = own ? Number(own.claimId.split('/').at(-1)) + 1 : 1;
  const common = {
    key: subject.key,
    claimId: [requestId, attempt, tries].join('/'),
    requestId,
    attempt,
    bodyHash: subject.bodyHash,
    serverId: route?.[0]?.serverId ?? '',
    incarnation: route?.[0]?.incarnation ?? '',
    at: now,
  };
  const step = decideClaimStep(
    state,
    { bodyHash: subject.bodyHash, promisedClaimId: claim.promisedClaimId },
    now,
    claim.services.book.settings.windowMs,
  );
  return state && step === ClaimStep.TakeOver
    ? {
        kind: ClaimRecordKind.Takeover,
        earlier: state.claim.claimId,
        ...common,
      }
    : { kind: ClaimRecordKind.Claim, ...common };
};

export const requestPromise: ClaimAction = (claim, _, now) => {
  claim.asked = claim.state?.claim;
  if (!claim.asked) {
    return;
  }
  const asked = claim.services.requestPromise(claim.asked, claim);
  if (asked === AskResult.Gone) {
    claim.send({ type: 'AGENT_GONE' }, now);
  }
};

export const noteReason: ClaimAction = (claim, event) => {
  if (event && 'error' in event) {
    claim.error = event.error;
  }
};

export const notePromise: ClaimAction = claim => {
  claim.promisedClaimId = claim.asked?.claimId;
};

/** Records the end that the agent reported, in case the entry of the attempt is gone. */
export const recordEnd: ClaimAction = (claim, event, now) => {
  if (event?.type === 'RAN') {
    claim.end = event.end;
    claim.stream.appendEnd(event.end, now);
  }
};

export const recordNotRun: ClaimAction = (claim, _, now) => {
  if (claim.own) {
    claim.stream.appendEnd(
      {
        kind: ClaimRecordKind.End,
        key: claim.own.key,
        claimId: claim.own.claimId,
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
  const end = claim.end ?? claim.state?.end;
  if (end) {
    claim.services.events.record('claim-replayed', now, claim.subject.ref);
    claim.owner.handleEnded(end, now);
  }
};

export const reportNotRun: ClaimAction = (claim, _, now) => {
  const error = claim.error ?? createDownError();
  claim.services.events.record('claim-refused', now, claim.subject.ref);
  claim.owner.handleNotRun(error, now);
};

export const reportUnknown: ClaimAction = (claim, _, now) => {
  claim.services.events.record('claim-unknown', now, claim.subject.ref);
  claim.owner.handleUnknown(createUnknownError(), now);
};

/** Binds the chart `claim`. Fails with `BadChart`. */
export const bindClaimChart = (): Result<
  ChartMachine<ClaimAttemptContext, ClaimEvent>
> =>
  bindChart<ClaimAttemptContext, ClaimEvent>(ChartName.Claim, {
    actions: {
      findClaim,
      chooseServer,
      enqueueClaim,
      requestPromise,
      noteReason,
      notePromise,
      recordEnd,
      recordNotRun,
      reportWon,
      reportEnded,
      reportNotRun,
      reportUnknown,
    },
    guards: {},
    delays: {
      PATIENCE: () => claimPatienceMs,
      ASK_INTERVAL: () => claimAskIntervalMs,
      ASK_BOUND: () => claimAskBoundMs,
    },
  });
