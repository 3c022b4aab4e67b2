/** Decides whether an entry admits a request. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import type { RequestView, RouterConfiguration } from './types.js';

/** Admits or rejects requests. */
export abstract class AdmissionPolicy {
  /** Fails with the error to return to the client. */
  abstract decideAdmission(
    request: RequestView,
    configuration: RouterConfiguration,
    now: Milliseconds,
  ): Result<true>;
}

/**
 * Admits every request whose service and rank exist, that its account may
 * send, and whose deadline has not passed. Applies no rate limits.
 */
export class BasicAdmission extends AdmissionPolicy {
  override decideAdmission(
    request: RequestView,
    configuration: RouterConfiguration,
    now: Milliseconds,
  ): Result<true> {
    return checkServiceAndRank(request, configuration).andThen(() =>
      checkDeadline(request, now),
    );
  }
}

const checkServiceAndRank = (
  request: RequestView,
  configuration: RouterConfiguration,
): Result<true> => {
  const service = configuration.services.find(
    rule => rule.name === request.service,
  );
  if (!service?.accounts.includes(request.account)) {
    return Err(
      new TypedError(
        ErrorKind.UnknownService,
        `service "${request.service}" does not exist for account "${request.account}"`,
        'use a service listed by /v1/models or ask the operator for access',
      ),
    );
  }
  if (!configuration.ranks.some(rank => rank.name === request.rank)) {
    return Err(
      new TypedError(
        ErrorKind.UnknownRank,
        `rank "${request.rank}" does not exist`,
        `use one of: ${configuration.ranks.map(rank => rank.name).join(', ')}`,
      ),
    );
  }
  return Ok(true);
};

const checkDeadline = (
  request: RequestView,
  now: Milliseconds,
): Result<true> => {
  if (request.deadlineAt > now) {
    return Ok(true);
  }
  return Err(
    new TypedError(
      ErrorKind.DeadlineExceeded,
      'the deadline passed before the request could start',
      'send the request with a later deadline',
    ),
  );
};
