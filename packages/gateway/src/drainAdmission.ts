/** Decides whether a stopping gateway still takes a call: only one that ends before the drain timeout. */
import { ErrorKind, type Milliseconds } from '@lycheetally/common';
import type { CallTiming, ForecastCall } from '@lycheetally/decisions';
import {
  closeConnectionsAfterMs,
  drainEndReserveMs,
  minShareBeforeNotice,
  stoppingRetryAfterMs,
} from './constants.js';
import type { AdmittedCall, CallFault, GatewayCall } from './gatewayCall.js';

/** What was expected of a call when a stopping gateway decided on it. */
export interface DrainForecast {
  readonly forecastMs: Milliseconds;
  /** Share of such calls that was expected to end in time, from 0 to 1. */
  readonly share: number;
  /** Observations that the share was taken from. */
  readonly samples: number;
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
 * Whether an attempt that starts now is expected to end before the gateway stops.
 * Until the load balancer has noticed the stop, it is enough that a repeatable call
 * probably ends: its caller can continue it elsewhere if it is cut.
 */
export const mayEndBeforeStop = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): boolean => {
  const { drainPeriod, durationForecast } = call.services;
  if (!drainPeriod.hasBegun) {
    return true;
  }
  const forecastCall = toForecastCall(call, admitted);
  const endsAt = drainPeriod.timeoutAt - drainEndReserveMs;
  const share = durationForecast.estimateShareBy(forecastCall, endsAt, now);
  call.drainForecast = {
    forecastMs: durationForecast.estimateDuration(forecastCall, now),
    share,
    samples: durationForecast.countSamples(forecastCall, now),
    timeLeftMs: drainPeriod.timeoutAt - now,
  };
  const isNoticed =
    drainPeriod.measureSinceStop(now) >= closeConnectionsAfterMs;
  return (
    durationForecast.mayEndBy(forecastCall, endsAt, now) ||
    (!isNoticed && admitted.isRepeatable && share >= minShareBeforeNotice)
  );
};

/** Notes how long a call took that was answered in full. */
export const noteDuration = (call: GatewayCall, now: Milliseconds): void => {
  const { admitted, services } = call;
  if (admitted) {
    services.durationForecast.noteComplete(
      toForecastCall(call, admitted),
      measureTiming(call, now),
      now,
    );
  }
};

/** Notes the ages of the calls that are open when the gateway is stopped. */
export const noteOpenCalls = (
  calls: Iterable<GatewayCall>,
  now: Milliseconds,
): void => {
  for (const call of calls) {
    if (call.admitted) {
      call.services.durationForecast.noteOpen(
        toForecastCall(call, call.admitted),
        measureTiming(call, now),
        now,
      );
    }
  }
};

const toForecastCall = (
  { received }: GatewayCall,
  { route, service, deadlineAt }: AdmittedCall,
): ForecastCall => ({
  route: `${route.name} ${service.name}`,
  outputTokens: route.isStream ? received.fields.maxOutputTokens : undefined,
  deadlineAt,
});

const measureTiming = (
  { received, firstByteAt }: GatewayCall,
  now: Milliseconds,
): CallTiming => ({
  durationMs: now - received.receivedAt,
  firstByteMs:
    firstByteAt === undefined ? undefined : firstByteAt - received.receivedAt,
});
