/** Creates outcome records of requests and of calls that never became requests. */
import type { Milliseconds, TypedError } from '@lycheetally/common';
import { Outcome } from '@lycheetally/decisions';
import type { RequestContext } from '../entry/requestContext.js';
import type { CallerCall } from '../ports/callerExchange.js';
import type { NewOutcomeRecord } from './outcomeRecord.js';

/** The longest caller-supplied text that a record stores, in characters. */
const maxCallerTextLength = 256;

/** Creates the record of a request that ended. */
export const createOutcomeRecord = (
  context: RequestContext,
  outcome: Outcome,
  now: Milliseconds,
): NewOutcomeRecord => {
  const { request, end, error, attemptCount, delivered, firstTokenAt } =
    context;
  const isComplete = outcome === Outcome.Complete;
  return {
    requestId: request.requestId,
    callerRequestId: request.callerRequestId ?? '',
    account: request.account,
    rank: request.rank,
    service: request.service.name,
    outcome,
    errorKind: isComplete ? '' : (error?.kind ?? ''),
    tokensIn: end?.promptTokens ?? 0,
    tokensOut: delivered.length,
    attempts: attemptCount,
    servers: context.attempt?.route.map(server => server.serverId) ?? [],
    receivedAt: request.receivedAt,
    ...(firstTokenAt === undefined ? {} : { firstTokenAt }),
    endedAt: now,
  };
};

/** Creates the record of a call that was refused before it became a request. */
export const createRefusalRecord = (
  requestId: string,
  call: Pick<CallerCall, 'callerRequestId' | 'service'>,
  account: string,
  error: TypedError,
  now: Milliseconds,
): NewOutcomeRecord => ({
  requestId,
  callerRequestId: call.callerRequestId ?? '',
  account,
  rank: '',
  service: call.service.slice(0, maxCallerTextLength),
  outcome: Outcome.NotRun,
  errorKind: error.kind,
  tokensIn: 0,
  tokensOut: 0,
  attempts: 0,
  servers: [],
  receivedAt: now,
  endedAt: now,
});
