/** Actions of the state chart `request`, under the names that the chart uses. */
import {
  ChartName,
  bindChart,
  type ChartAction,
  type ChartMachine,
} from '@lycheetally/charts';
import {
  ErrorKind,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import { BusyError, Outcome, decideOutcome } from '@lycheetally/decisions';
import { requestCancelTimeoutMs } from '../constants.js';
import { createOutcomeRecord } from '../ledger/createOutcomeRecord.js';
import { describeRouting } from '../timeline/describeRouting.js';
import type { AttemptContext } from './attemptContext.js';
import {
  createRequestView,
  type RequestContext,
  type RequestEvent,
} from './requestContext.js';
import {
  chooseSafeRoute,
  hasRun,
  isSuspectRefused,
  toTracedWork,
} from './suspects/tracedRequest.js';

type RequestAction = ChartAction<RequestContext, RequestEvent>;

const createNotReadyError = (): TypedError =>
  new TypedError(
    ErrorKind.NoCapacity,
    'this entry has no configuration yet',
    'send the request again later',
  );

export const decideAdmission: RequestAction = (context, _, now) => {
  const { services } = context;
  const configuration = services.getConfiguration();
  if (!configuration) {
    const error = createNotReadyError();
    context.instance?.send({ type: 'REFUSED', error }, now);
    return;
  }
  const view = createRequestView(context);
  const decided = services.policies.admission
    .decideAdmission(view, configuration, now)
    .andThen(() => services.suspects.admitWork(toTracedWork(context), now));
  if (decided.ok) {
    context.isTrial = decided.val.isTrial;
    services.policies.retry.noteRequest(view, now);
  }
  context.instance?.send(
    decided.ok ? { type: 'ADMITTED' } : { type: 'REFUSED', error: decided.val },
    now,
  );
};

export const chooseRoute: RequestAction = (context, _, now) => {
  const { services, request } = context;
  const servers = services.listServers(request.service.name);
  const chosen = chooseSafeRoute(context, now);
  services.events.record('route-decided', now, {
    requestId: request.requestId,
    detail: describeRouting(servers, context.avoided, chosen),
  });
  if (chosen.err) {
    context.instance?.send({ type: 'UNROUTABLE', error: chosen.val }, now);
    return;
  }
  context.route = chosen.val;
  context.instance?.send({ type: 'ROUTED' }, now);
};

export const startClaim: RequestAction = (context, _, now) => {
  context.services.claims.startClaim(context, now);
};

export const withdrawClaim: RequestAction = (context, _, now) => {
  context.claim?.send({ type: 'WITHDRAW' }, now);
};

export const startAttempt: RequestAction = (context, _, now) => {
  const { services, request } = context;
  if (context.attemptCount > 0) {
    services.policies.retry.noteRetry(createRequestView(context), now);
  }
  context.attemptCount += 1;
  const attempt: AttemptContext = {
    owner: context,
    ref: { requestId: request.requestId, attempt: context.attemptCount },
    epoch: context.attemptCount,
    route: context.route ?? [],
    startedAt: now,
    runningAt: undefined,
    instance: undefined,
    error: undefined,
    failedServerId: undefined,
    end: undefined,
    deliveredTokens: 0,
  };
  context.attempt = attempt;
  services.updateOutstanding(attempt.route, 1);
  attempt.instance = services.attemptMachine.createInstance(
    attempt,
    services.timers,
  );
  attempt.instance.start(now);
};

export const cancelAttempt: RequestAction = (context, _, now) => {
  context.attempt?.instance?.send({ type: 'CANCEL' }, now);
};

/** Revokes the attempt if it has not started; a started attempt continues to run. */
export const revokeAttempt: RequestAction = (context, _, now) => {
  context.attempt?.instance?.send({ type: 'REVOKE' }, now);
};

export const recordCancellation: RequestAction = (context, _, now) => {
  context.isCancelled = true;
  context.error = new TypedError(
    ErrorKind.DeadlineExceeded,
    'the request was cancelled: its deadline passed, its caller disconnected or the entry stopped',
    'send the request again, with a later deadline if it needs more time',
  );
  context.services.events.record('request-cancelled', now, {
    requestId: context.request.requestId,
  });
};

export const setError: RequestAction = (context, event) => {
  if (event && 'error' in event) {
    context.error = event.error;
  }
};

export const decideEnd: RequestAction = (context, _, now) => {
  const outcome = decideOutcome(context.attemptOutcomes);
  context.instance?.send({ type: endEvents[outcome] }, now);
};

const endEvents = {
  [Outcome.Complete]: 'RAN',
  [Outcome.Failed]: 'RAN',
  [Outcome.NotRun]: 'NEVER_RAN',
  [Outcome.Unknown]: 'MAY_HAVE_RUN',
} as const;

const endRequest = (
  context: RequestContext,
  outcome: Outcome,
  now: Milliseconds,
): void => {
  const { services, request, end, exchange } = context;
  services.events.record('request-ended', now, {
    requestId: request.requestId,
    detail: {
      outcome,
      account: request.account,
      rank: request.rank,
      service: request.service.name,
      attempts: context.attemptCount,
      tokens: context.delivered.length,
      reason:
        outcome === Outcome.Complete ? '' : (context.error?.message ?? ''),
    },
  });
  services.recordOutcome(createOutcomeRecord(context, outcome, now));
  exchange.finish({
    requestId: request.requestId,
    outcome,
    error: outcome === Outcome.Complete ? undefined : context.error,
    retryAfterMs:
      outcome === Outcome.NotRun ? findRetryAfter(context.error) : undefined,
    finishReason: end?.finishReason,
    promptTokens: end?.promptTokens,
    generatedTokens: context.delivered.length,
    plain: end?.plain,
  });
  context.instance?.dispose();
  services.handleRequestEnded(context, now);
};

/** Milliseconds until a refused caller may retry, when the error names no delay. */
const defaultRetryAfterMs = 1_000;

const findRetryAfter = (error: TypedError | undefined): Milliseconds =>
  error instanceof BusyError ? error.retryAfterMs : defaultRetryAfterMs;

export const answerComplete: RequestAction = (context, _, now) => {
  endRequest(context, Outcome.Complete, now);
};

export const answerNotRun: RequestAction = (context, _, now) => {
  endRequest(context, Outcome.NotRun, now);
};

export const answerFailed: RequestAction = (context, _, now) => {
  endRequest(context, Outcome.Failed, now);
};

export const answerUnknown: RequestAction = (context, _, now) => {
  endRequest(context, Outcome.Unknown, now);
};

/** Creates the end of an answer whose tokens all arrived but whose final message was lost. */
export const createMissingEnd: RequestAction = context => {
  const { request, delivered, attemptCount } = context;
  const generatedTokens = delivered.length;
  const maxTokens = request.model?.maxTokens ?? 0;
  context.end = {
    requestId: request.requestId,
    attempt: attemptCount,
    finishReason: generatedTokens >= maxTokens ? 'length' : 'stop',
    promptTokens: (context.lastPosition ?? 0) + 1 - generatedTokens,
    generatedTokens,
  };
};

const mayRetry = (context: RequestContext, now: Milliseconds): boolean =>
  context.services.policies.retry.mayRetry(createRequestView(context), now);

/** Binds the chart `request`. Fails with `BadChart`. */
export const bindRequestChart = (): Result<
  ChartMachine<RequestContext, RequestEvent>
> =>
  bindChart<RequestContext, RequestEvent>(ChartName.Request, {
    actions: {
      decideAdmission,
      chooseRoute,
      startClaim,
      withdrawClaim,
      startAttempt,
      cancelAttempt,
      revokeAttempt,
      recordCancellation,
      setError,
      createMissingEnd,
      decideEnd,
      answerComplete,
      answerNotRun,
      answerFailed,
      answerUnknown,
    },
    guards: {
      needsClaim: context => context.request.idempotencyKey !== undefined,
      hasCompleteAnswer: context => context.hasLastToken,
      mayRetry: (context, _, now) => mayRetry(context, now),
      // A request of which nothing has run is refused at once rather than kept
      // waiting for a route, since another entry may reach a server.
      mayWaitForRoute: (context, _, now) =>
        hasRun(context) && !isSuspectRefused(context) && mayRetry(context, now),
      mayRepeat: (context, _, now) =>
        !isSuspectRefused(context) &&
        context.services.policies.retry.mayRepeat(
          createRequestView(context),
          now,
        ),
    },
    delays: {
      DEADLINE: (context, now) => context.request.deadlineAt - now,
      RETRY_DELAY: context =>
        context.services.policies.retry.computeDelay(
          createRequestView(context),
        ),
      CANCEL_TIMEOUT: () => requestCancelTimeoutMs,
    },
  });
