/**
 * Decides whether a request is admitted, given the forecast for its best route.
 *
 * Overload is detected by predicted delay, not by queue length. Urgent ranks are
 * served first, so the delay of the least urgent rank grows first and its
 * requests are rejected first. When the most urgent rank overloads the system,
 * its requests are rejected once they would miss their own target, and the
 * other ranks keep their floors.
 */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import { BusyError, minRetryAfterMs } from '../order/queueBound.js';
import type { RequestView } from '../types.js';

/** Predicted times of a request on a route, in milliseconds from now. */
export interface RouteForecast {
  readonly waitMs: Milliseconds;
  readonly firstTokenMs: Milliseconds;
  readonly completionMs: Milliseconds;
}

/** Admits or rejects requests by the forecast for their best route. */
export abstract class OverloadPolicy {
  abstract decideAdmission(
    request: RequestView,
    forecast: RouteForecast,
    now: Milliseconds,
  ): Result<true>;
}

/** Admits every request. */
export class AlwaysAdmitPolicy extends OverloadPolicy {
  override decideAdmission(): Result<true> {
    return Ok(true);
  }
}

/** Share of the target that a forecast may use; the rest allows for forecast errors. */
const usableTargetShare = 0.9;

/** Rejects requests that are predicted to miss their target or their deadline. */
export class LatencyTargetPolicy extends OverloadPolicy {
  override decideAdmission(
    request: RequestView,
    forecast: RouteForecast,
    now: Milliseconds,
  ): Result<true> {
    const remainingMs = request.deadlineAt - now;
    const processingMs = forecast.completionMs - forecast.waitMs;
    if (processingMs > remainingMs) {
      return Err(createDeadlineError(processingMs));
    }
    const targetMs = (request.targetMs ?? Infinity) * usableTargetShare;
    const targetExcessMs = forecast.firstTokenMs - targetMs;
    const deadlineExcessMs = forecast.completionMs - remainingMs;
    // Only the queueing delay can be shorter for a later retry.
    const excessMs = Math.min(
      forecast.waitMs,
      Math.max(targetExcessMs, deadlineExcessMs),
    );
    return excessMs > 0
      ? Err(createOverloadError(request, excessMs))
      : Ok(true);
  }
}

const createOverloadError = (
  request: RequestView,
  excessMs: Milliseconds,
): BusyError =>
  new BusyError(
    `service "${request.service}" is overloaded by requests of rank "${request.rank}" or of more urgent ranks`,
    Math.max(minRetryAfterMs, excessMs),
  );

const createDeadlineError = (neededMs: Milliseconds): TypedError =>
  new TypedError(
    ErrorKind.DeadlineExceeded,
    'the deadline is too soon for the request to complete',
    `allow at least ${String(Math.ceil(neededMs))} ms`,
  );
