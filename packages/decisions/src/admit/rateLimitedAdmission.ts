/** Admission with rate limits by account and rank. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import { BasicAdmission } from '../admission.js';
import { maxRequestCost } from '../load/tokenCost.js';
import { BusyError } from '../order/queueBound.js';
import type { RequestView, RouterConfiguration } from '../types.js';
import { AccountTokenBuckets } from './accountLimits.js';

export class RateLimitedAdmission extends BasicAdmission {
  private readonly buckets = new AccountTokenBuckets();

  override decideAdmission(
    request: RequestView,
    configuration: RouterConfiguration,
    now: Milliseconds,
  ): Result<true> {
    return super
      .decideAdmission(request, configuration, now)
      .andThen(() => checkCost(request))
      .andThen(() => this.checkLimit(request, configuration, now));
  }

  private checkLimit(
    request: RequestView,
    configuration: RouterConfiguration,
    now: Milliseconds,
  ): Result<true> {
    const account = configuration.accounts.find(
      each => each.name === request.account,
    );
    const limit = account?.limits?.find(each => each.rank === request.rank);
    if (!limit) {
      return Ok(true);
    }
    const cost = request.cost ?? 1;
    if (cost > limit.burstCost) {
      return Err(createTooLargeError(request, limit.burstCost));
    }
    const waitMs = this.buckets.takeCost(request.account, limit, cost, now);
    return waitMs === 0 ? Ok(true) : Err(createRateLimitError(request, waitMs));
  }
}

const checkCost = (request: RequestView): Result<true> => {
  const cost = request.cost ?? 1;
  if (cost >= 0 && cost <= maxRequestCost) {
    return Ok(true);
  }
  return Err(
    new TypedError(
      ErrorKind.BadRequest,
      `the cost ${String(cost)} of the request is out of range`,
      `ask for a cost from 0 to ${String(maxRequestCost)}`,
    ),
  );
};

const createTooLargeError = (
  request: RequestView,
  burstCost: number,
): TypedError =>
  new TypedError(
    ErrorKind.TooLarge,
    `the request exceeds the burst limit of account "${request.account}" in rank "${request.rank}"`,
    `ask for a cost of at most ${String(burstCost)} token units`,
  );

const createRateLimitError = (
  request: RequestView,
  waitMs: number,
): BusyError =>
  new BusyError(
    `account "${request.account}" has reached its rate limit in rank "${request.rank}"`,
    waitMs,
  );
