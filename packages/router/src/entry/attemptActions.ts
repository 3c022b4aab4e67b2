/** Actions of the state chart `attempt`, under the names that the chart uses. */
import {
  ChartName,
  bindChart,
  type ChartAction,
  type ChartMachine,
} from '@lycheetally/charts';
import { ErrorKind, TypedError, type Result } from '@lycheetally/common';
import { Outcome } from '@lycheetally/decisions';
import {
  MessageKind,
  type Offer,
  type PeerMessage,
} from '@lycheetally/protocol';
import {
  cancelTimeoutMs,
  nonRepeatableReconnectTimeoutMs,
  offerTimeoutMs,
  reconnectTimeoutMs,
  revokeTimeoutMs,
} from '../constants.js';
import {
  getFirstServerId,
  type AttemptContext,
  type AttemptEvent,
} from './attemptContext.js';
import type { RequestEvent } from './requestContext.js';
import { noteAttemptEnd } from './suspects/tracedRequest.js';

type AttemptAction = ChartAction<AttemptContext, AttemptEvent>;

export const sendOffer: AttemptAction = (attempt, _, now) => {
  const { owner } = attempt;
  owner.services.events.record('attempt-offered', now, {
    ...attempt.ref,
    detail: {
      servers: attempt.route.map(server => server.serverId).join(','),
    },
  });
  const offer = createOffer(attempt, now);
  if (!sendToFirst(attempt, { kind: MessageKind.Offer, value: offer })) {
    const error = createConnectionLostError('could not be sent to the agent');
    const serverId = getFirstServerId(attempt);
    attempt.instance?.send({ type: 'REFUSED', error, serverId }, now);
  }
};

const createOffer = (attempt: AttemptContext, now: number): Offer => {
  const { request, delivered } = attempt.owner;
  return {
    ...attempt.ref,
    epoch: attempt.epoch,
    account: request.account,
    rank: request.rank,
    urgency: request.urgency,
    service: request.service.name,
    timeLeftMs: request.deadlineAt - now,
    repeatable: request.isRepeatable,
    stages: attempt.route.map(server => ({
      serverId: server.serverId,
      agentAddress: server.agentAddress,
      incarnation: server.incarnation,
      layerFrom: server.layerFrom,
      layerTo: server.layerTo,
    })),
    stageIndex: 0,
    rankFloor: request.rankFloor,
    accountWeight: request.accountWeight,
    cost: request.cost,
    model: request.model && { ...request.model, generated: delivered },
    plain: request.plain,
  };
};

const sendToFirst = (
  attempt: AttemptContext,
  message: PeerMessage,
): boolean => {
  const first = attempt.route[0];
  return (
    first !== undefined && attempt.owner.services.sendToServer(first, message)
  );
};

export const sendRevoke: AttemptAction = attempt => {
  sendToFirst(attempt, { kind: MessageKind.Revoke, value: attempt.ref });
};

export const sendCancel: AttemptAction = attempt => {
  sendToFirst(attempt, { kind: MessageKind.Cancel, value: attempt.ref });
};

/** Requests the tokens and the final message that a lost connection may have dropped. */
export const sendResume: AttemptAction = (attempt, _, now) => {
  const { owner, ref } = attempt;
  owner.services.events.record('attempt-resumed', now, ref);
  const fromIndex = owner.delivered.length;
  sendToFirst(attempt, {
    kind: MessageKind.Resume,
    value: { ...ref, fromIndex },
  });
};

/** Keeps the first time, since the state is entered again after each reconnect. */
export const noteRunning: AttemptAction = (attempt, _, now) => {
  attempt.runningAt ??= now;
};

export const setError: AttemptAction = (attempt, event) => {
  if (event && 'error' in event) {
    attempt.error = event.error;
    attempt.failedServerId = event.serverId === '' ? undefined : event.serverId;
  }
};

export const setEnd: AttemptAction = (attempt, event) => {
  if (event?.type === 'FINISHED') {
    attempt.end = event.end;
  }
};

const hasAllTokens = (attempt: AttemptContext): boolean =>
  attempt.owner.request.model === undefined ||
  attempt.end?.generatedTokens === attempt.deliveredTokens;

export const reportComplete: AttemptAction = (attempt, _, now) => {
  if (hasAllTokens(attempt)) {
    attempt.owner.end = attempt.end;
    endAttempt(attempt, Outcome.Complete, { type: 'ATTEMPT_COMPLETE' }, now);
    return;
  }
  const error = new TypedError(
    ErrorKind.BadMessage,
    'the answer ended before all of its tokens arrived',
    'send the request again',
  );
  endAttempt(attempt, Outcome.Failed, { type: 'ATTEMPT_FAILED', error }, now);
};

export const reportNotRun: AttemptAction = (attempt, _, now) => {
  const error =
    attempt.error ?? createConnectionLostError('was revoked before it started');
  endAttempt(attempt, Outcome.NotRun, { type: 'ATTEMPT_NOT_RUN', error }, now);
};

export const reportFailed: AttemptAction = (attempt, _, now) => {
  const error = attempt.error ?? createConnectionLostError('was stopped');
  endAttempt(attempt, Outcome.Failed, { type: 'ATTEMPT_FAILED', error }, now);
};

export const reportUnknown: AttemptAction = (attempt, _, now) => {
  const error = createConnectionLostError(
    'may have run: the connection to its agent was lost',
  );
  endAttempt(attempt, Outcome.Unknown, { type: 'ATTEMPT_UNKNOWN', error }, now);
};

const createConnectionLostError = (what: string): TypedError =>
  new TypedError(
    ErrorKind.ConnectionLost,
    `the work ${what}`,
    'check its effect before sending the request again',
  );

const endAttempt = (
  attempt: AttemptContext,
  outcome: Outcome,
  event: RequestEvent,
  now: number,
): void => {
  const { owner } = attempt;
  owner.attemptOutcomes.push(outcome);
  owner.services.claims.recordAttemptEnd(attempt, outcome, now);
  noteAttemptEnd(attempt, outcome, now);
  owner.services.events.record(formatEventKind(event), now, attempt.ref);
  owner.services.updateOutstanding(attempt.route, -1);
  attempt.instance?.dispose();
  if (event.type !== 'ATTEMPT_COMPLETE') {
    owner.avoided.push(attempt.failedServerId ?? getFirstServerId(attempt));
  }
  owner.instance?.send(event, now);
};

const formatEventKind = (event: RequestEvent): string =>
  event.type.toLowerCase().replaceAll('_', '-');

/** Binds the chart `attempt`. Fails with `BadChart`. */
export const bindAttemptChart = (): Result<
  ChartMachine<AttemptContext, AttemptEvent>
> =>
  bindChart<AttemptContext, AttemptEvent>(ChartName.Attempt, {
    actions: {
      sendOffer,
      sendRevoke,
      sendCancel,
      sendResume,
      noteRunning,
      setError,
      setEnd,
      reportComplete,
      reportNotRun,
      reportFailed,
      reportUnknown,
    },
    guards: { isRepeatable: attempt => attempt.owner.request.isRepeatable },
    delays: {
      OFFER_TIMEOUT: () => offerTimeoutMs,
      REVOKE_TIMEOUT: () => revokeTimeoutMs,
      CANCEL_TIMEOUT: () => cancelTimeoutMs,
      RECONNECT_TIMEOUT: attempt =>
        attempt.owner.request.isRepeatable
          ? reconnectTimeoutMs
          : nonRepeatableReconnectTimeoutMs,
    },
  });
