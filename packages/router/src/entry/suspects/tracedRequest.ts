/** Asks the table of suspects about the requests of an entry, and reports how their attempts end. */
import {
  Err,
  ErrorKind,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import { Outcome, decideOutcome, type Route } from '@lycheetally/decisions';
import { minTokensUnderWay } from '../../constants.js';
import { getFirstServerId, type AttemptContext } from '../attemptContext.js';
import { createRequestView, type RequestContext } from '../requestContext.js';
import type { TracedWork } from './workSuspects.js';

export const toTracedWork = (context: RequestContext): TracedWork => ({
  requestId: context.request.requestId,
  service: context.request.service,
  identity: context.identity,
  isTrial: context.isTrial,
  hasRun: hasRun(context),
  isAnswerUnderWay: context.delivered.length >= minTokensUnderWay,
});

/** Whether an attempt of the request ran, or may have. */
export const hasRun = (context: RequestContext): boolean =>
  decideOutcome(context.attemptOutcomes) !== Outcome.NotRun;

/** Whether the request must not be sent once more, since it may crash servers. */
export const isSuspectRefused = (context: RequestContext): boolean =>
  context.services.suspects.findFault(toTracedWork(context)) !== undefined;

/** Chooses the route of the next attempt among the servers that may run the request. */
export const chooseSafeRoute = (
  context: RequestContext,
  now: Milliseconds,
): Result<Route> => {
  const { services, request } = context;
  const { suspects, policies } = services;
  const work = toTracedWork(context);
  const fault = suspects.findFault(work);
  if (fault) {
    return Err(fault);
  }
  const servers = services.listServers(request.service.name);
  const allowed = suspects.filterServers(work, servers, now);
  return allowed.ok
    ? policies.routing.chooseRoute(
        createRequestView(context),
        request.service,
        allowed.val,
        now,
      )
    : allowed;
};

/** Reports how an attempt ended. */
export const noteAttemptEnd = (
  attempt: AttemptContext,
  outcome: Outcome,
  now: Milliseconds,
): void => {
  if (outcome === Outcome.Complete) {
    noteAnswered(attempt, now);
  } else if (attempt.deliveredTokens < minTokensUnderWay) {
    noteBroken(attempt, now);
  }
};

/** Reports that an answer is under way, when its tokens show it. */
export const noteToken = (
  attempt: AttemptContext | undefined,
  now: Milliseconds,
): void => {
  if (attempt?.deliveredTokens === minTokensUnderWay) {
    noteAnswered(attempt, now);
  }
};

/** Reports that the servers of an attempt answer it. */
const noteAnswered = (attempt: AttemptContext, now: Milliseconds): void => {
  const { owner, route } = attempt;
  const sentAt = getSentAt(attempt);
  const runs = route.map(({ serverId }) => ({ serverId, sentAt }));
  owner.services.suspects.noteServed(toTracedWork(owner), runs, now);
};

const noteBroken = (attempt: AttemptContext, now: Milliseconds): void => {
  const { suspects } = attempt.owner.services;
  const serverId = attempt.failedServerId ?? getFirstServerId(attempt);
  switch (attempt.error?.kind) {
    case ErrorKind.BackendCrashed: {
      const run = { serverId, sentAt: getSentAt(attempt) };
      suspects.noteCrashed(toTracedWork(attempt.owner), run, now);
      return;
    }
    case ErrorKind.BackendFailed:
      suspects.noteUnreachable(serverId, now);
      return;
    default:
  }
};

/** The time at which the first server began to run the attempt, or else that of the offer. */
const getSentAt = ({ runningAt, startedAt }: AttemptContext): Milliseconds =>
  runningAt ?? startedAt;
