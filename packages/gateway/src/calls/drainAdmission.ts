/** Decides whether a stopping gateway still takes a call: only one that ends before the drain timeout. */
import { ErrorKind, type Milliseconds } from '@lycheetally/common';
import type { DurationEstimate, ForecastCall } from '@lycheetally/decisions';
import {
  closeConnectionsAfterMs,
  drainEndReserveMs,
  minShareBeforeNotice,
  stoppingRetryAfterMs,
} from '../constants.js';
import type { AdmittedCall, CallFault, GatewayCall } from './gatewayCall.js';

/** What was expected of a call when a stopping gateway decided on it. */
export interface DrainForecast extends DurationEstimate {
  /** Time until the drain timeout. */
  readonly timeLeftMs: Milliseconds;
}

/** The refusal of a gateway whose stop the load balancer has noticed. */
export const stoppingFault: CallFault = {
  status: 503,
  kind: ErrorKind.ShuttingDown,
  message:
    'this gateway is stopping, and the call may not end before; another one takes the call',
  retryAfterMs: stoppingRetryAfterMs,
};

/** Why a call that was open at the drain timeout ends. */
export const drainTimeoutFault: CallFault = {
  status: 503,
  kind: ErrorKind.ShuttingDown,
  message:
    'the drain timeout has passed; another gateway takes the call if it is repeated',
};

/** Describes a refusal; until the load balancer has noticed the stop, a call would come back to this gateway. */
export const createStoppingFault = (
  { services }: GatewayCall,
  now: Milliseconds,
): CallFault => {
  const sinceStopMs = services.drainPeriod.measureSinceStop(now);
  return {
    ...stoppingFault,
    retryAfterMs: Math.max(
      stoppingRetryAfterMs,
      closeConnectionsAfterMs - sinceStopMs,
    ),
  };
};

/**
 * Whether an attempt that starts now is expected to end before the gateway stops. Only
 * its deadline says so for certain, which is asked of a call that may not be repeated.
 * Until the load balancer has noticed the stop, it is enough that a repeatable call
 * probably ends: its caller can continue it elsewhere if it is cut.
 */
export const mayEndBeforeStop = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): boolean =>
  !call.services.drainPeriod.hasBegun ||
  isExpectedToEnd(call, admitted, estimateEnd(call, admitted, now), now);

/** Like `mayEndBeforeStop`, for a call that is about to be taken; keeps the forecast for the log. */
export const mayTakeBeforeStop = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): boolean => {
  const { drainPeriod } = call.services;
  if (!drainPeriod.hasBegun) {
    return true;
  }
  const estimate = estimateEnd(call, admitted, now);
  call.drainForecast = {
    ...estimate,
    timeLeftMs: drainPeriod.timeoutAt - now,
  };
  return isExpectedToEnd(call, admitted, estimate, now);
};

const getLatestEnd = ({ services }: GatewayCall): Milliseconds =>
  services.drainPeriod.timeoutAt - drainEndReserveMs;

const estimateEnd = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): DurationEstimate =>
  call.services.durationForecast.estimateBy(
    toForecastCall(call, admitted),
    getLatestEnd(call),
    now,
  );

const isExpectedToEnd = (
  call: GatewayCall,
  admitted: AdmittedCall,
  estimate: DurationEstimate,
  now: Milliseconds,
): boolean => {
  const { drainPeriod } = call.services;
  const endsAt = getLatestEnd(call);
  if (!admitted.isRepeatable) {
    return admitted.deadlineAt <= endsAt;
  }
  const isNoticed =
    drainPeriod.measureSinceStop(now) >= closeConnectionsAfterMs;
  return (
    now + estimate.slowestMs <= endsAt ||
    (!isNoticed && estimate.share > minShareBeforeNotice)
  );
};

/** Notes that a call was admitted; until it ends, its age counts for others like it. */
export const noteOpened = (call: GatewayCall, admitted: AdmittedCall): void => {
  call.noteEnd = call.services.durationForecast.noteOpened(
    toForecastCall(call, admitted),
    call.received.receivedAt,
  );
};

/**
 * Streams with a hint of their length are alike on all routes of a service; others are
 * compared with those of a similar limit.
 */
const toForecastCall = (
  { received }: GatewayCall,
  { route, service, deadlineAt }: AdmittedCall,
): ForecastCall => {
  const { maxOutputTokens = 0, hintedOutputTokens: hinted = 0 } =
    received.fields;
  const limitClass = Math.ceil(Math.log2(maxOutputTokens + 1));
  return {
    kind:
      hinted > 0
        ? service.name
        : `${service.name} ${route.name} ${String(limitClass)}`,
    expectedSize: Math.max(1, hinted),
    deadlineAt,
  };
};
