/**
 * Decides whether a request may join the queue that its best route has now.
 *
 * Overload shows as predicted delay, not as length: urgent ranks are served
 * first, so the least urgent sees its delay grow first and is refused first;
 * a flood of the most urgent is refused at its own target and leaves the
 * others their floors.
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

/** What a route is expected to take, in milliseconds from now. */
export interface RouteForecast {
  readonly waitMs: Milliseconds;
  readonly firstTokenMs: Milliseconds;
  readonly completionMs: Milliseconds;
}

/** A rule that admits requests by the forecast of their best route. */
export abstract class LoadGate {
  abstract decideEntry(
    request: RequestView,
    forecast: RouteForecast,
    now: Milliseconds,
  ): Result<true>;
}

/** Admits every request. */
export class OpenGate extends LoadGate {
  override decideEntry(): Result<true> {
    return Ok(true);
  }
}

/** Share of the target that a forecast may use; it is an estimate. */
const targetShare = 0.9;

/** Refuses requests that would miss their target or their deadline. */
export class TargetGate extends LoadGate {
  override decideEntry(
    request: RequestView,
    forecast: RouteForecast,
    now: Milliseconds,
  ): Result<true> {
    const leftMs = request.deadlineAt - now;
    const bareMs = forecast.completionMs - forecast.waitMs;
    if (bareMs > leftMs) {
      return Err(createDeadlineError(bareMs));
    }
    const targetMs = (request.targetMs ?? Infinity) * targetShare;
    const overTargetMs = forecast.firstTokenMs - targetMs;
    const overDeadlineMs = forecast.completionMs - leftMs;
    // Without a wait there is nothing that a later repeat would find shorter.
    const overMs = Math.min(
      forecast.waitMs,
      Math.max(overTargetMs, overDeadlineMs),
    );
    return overMs > 0 ? Err(createBusyError(request, overMs)) : Ok(true);
  }
}

const createBusyError = (
  request: RequestView,
  overMs: Milliseconds,
): BusyError =>
  new BusyError(
    `service "${request.service}" is busy with work of rank "${request.rank}" or above`,
    Math.max(minRetryAfterMs, overMs),
  );

const createDeadlineError = (neededMs: Milliseconds): TypedError =>
  new TypedError(
    ErrorKind.DeadlineExceeded,
    'the deadline is too near for the answer',
    `allow at least ${String(Math.ceil(neededMs))} ms`,
  );
