/** Validates a call against the configuration and turns it into a request. */
import { createHash, timingSafeEqual } from 'node:crypto';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  ServiceKind,
  computeTokenCost,
  type AccountRule,
  type RouterConfiguration,
  type ServiceRule,
} from '@lycheetally/decisions';
import type { ModelWork } from '@lycheetally/protocol';
import { defaultDeadlineMs } from '../constants.js';
import type { CallerCall } from '../ports/callerExchange.js';
import type { CallerRequest } from './requestContext.js';

/** Hashes a bearer key in the form that the configuration stores: `salt:hex`. */
export const hashKey = (salt: string, key: string): string =>
  `${salt}:${createHash('sha256').update(`${salt}:${key}`).digest('hex')}`;

/** Returns the client account that a bearer key belongs to. */
export const findAccount = (
  key: string,
  configuration: RouterConfiguration,
): AccountRule | undefined =>
  configuration.accounts.find(account => isKeyOf(account, key));

const isKeyOf = (account: AccountRule, key: string): boolean => {
  const salt = account.keyHash.split(':')[0] ?? '';
  const expected = Buffer.from(account.keyHash);
  const given = Buffer.from(hashKey(salt, key));
  return expected.length === given.length && timingSafeEqual(expected, given);
};

/** Creates the request for a call. Fails with `UnknownAccount`, `UnknownService` or `UnknownRank`. */
export const acceptCall = (
  requestId: string,
  call: CallerCall,
  configuration: RouterConfiguration,
  now: Milliseconds,
): Result<CallerRequest> => {
  const account = findAccount(call.bearerKey, configuration);
  if (!account) {
    return Err(
      new TypedError(
        ErrorKind.UnknownAccount,
        'the bearer key belongs to no client account',
        'send "Authorization: Bearer" with a key that the operator issued',
      ),
    );
  }
  const service = findService(call, configuration);
  if (!service) {
    return Err(
      new TypedError(
        ErrorKind.UnknownService,
        `service "${call.service}" does not exist`,
        'use a service that /v1/models lists',
      ),
    );
  }
  const rank = findRank(call, configuration);
  if (!rank) {
    return Err(
      new TypedError(
        ErrorKind.UnknownRank,
        `rank "${call.rank ?? ''}" does not exist`,
        `use one of: ${configuration.ranks.map(each => each.name).join(', ')}`,
      ),
    );
  }
  const promptTokens = estimatePromptTokens(call.model);
  const cost = estimateCost(call.model, promptTokens);
  if (cost.err) {
    return cost;
  }
  return Ok({
    requestId,
    callerRequestId: call.callerRequestId,
    account: account.name,
    rank: rank.name,
    urgency: rank.urgency,
    rankFloor: rank.floor,
    targetMs: rank.targetMs,
    accountWeight: account.weight,
    cost: cost.val,
    promptTokens,
    service,
    receivedAt: now,
    deadlineAt: now + (call.deadlineMs ?? defaultDeadlineMs),
    isRepeatable: service.idempotent && call.idempotencyKey === undefined,
    idempotencyKey: call.idempotencyKey,
    model: call.model,
    plain: call.plain,
  });
};

/** Approximate number of prompt characters per token. */
const charactersPerToken = 4;
/** Estimated cost of a call of a plain service, in token units. */
const plainCallCost = 1;

const estimatePromptTokens = (model: ModelWork | undefined): number =>
  Math.ceil((model?.prompt.length ?? 0) / charactersPerToken);

const estimateCost = (
  model: ModelWork | undefined,
  promptTokens: number,
): Result<number> =>
  model ? computeTokenCost(promptTokens, model.maxTokens) : Ok(plainCallCost);

const findService = (
  call: CallerCall,
  configuration: RouterConfiguration,
): ServiceRule | undefined => {
  const kind = call.model ? ServiceKind.Model : ServiceKind.Plain;
  return configuration.services.find(
    service => service.name === call.service && service.kind === kind,
  );
};

const findRank = (
  call: CallerCall,
  configuration: RouterConfiguration,
): RouterConfiguration['ranks'][number] | undefined => {
  if (call.rank === undefined) {
    return [...configuration.ranks].sort((a, b) => b.urgency - a.urgency)[0];
  }
  return configuration.ranks.find(rank => rank.name === call.rank);
};
