/** Admits or refuses a call, based on the configuration and on when the store last confirmed it. */
import { ErrorKind, type Milliseconds } from '@lycheetally/common';
import {
  isFreshEnough,
  pickService,
  type GatewayConfiguration,
  type KeyHolder,
  type RouteRule,
} from '@lycheetally/decisions';
import {
  defaultCallTokens,
  maxEventBytes,
  notReadyRetryAfterMs,
  overdueRetryAfterMs,
  retryAfterMs,
  staleRetryAfterMs,
} from '../constants.js';
import { createStoppingFault, mayTakeBeforeStop } from './drainAdmission.js';
import { EventStream } from '../attempt/eventStream.js';
import type { AdmittedCall, CallFault, GatewayCall } from './gatewayCall.js';

type Admission = { admitted: AdmittedCall } | { fault: CallFault };

export const admitCall = (call: GatewayCall, now: Milliseconds): Admission => {
  const { services, received } = call;
  const { fields, path } = received;
  if (services.intakeOrder.isOverdue(call.queuedAt, now)) {
    return { fault: overdue };
  }
  const configuration = services.getConfiguration();
  if (!configuration) {
    return { fault: noConfiguration };
  }
  if (fields.requestId === undefined) {
    return { fault: noRequestId };
  }
  const isFresh = isFreshEnough(
    services.getConfirmedAt(),
    services.getMoment(),
    services.revokeTimeoutMs,
  );
  const route = configuration.routes.findRoute(toHostName(fields.host), path);
  if (!route) {
    return { fault: isFresh ? noRoute : staleConfiguration };
  }
  const needsKey = configuration.keys !== undefined && !route.isPublic;
  if (needsKey && !isFresh) {
    return { fault: staleConfiguration };
  }
  const holder = findHolder(configuration, fields.key);
  if (needsKey && !holder) {
    return { fault: unknownKey };
  }
  const admission = finishAdmission(call, configuration, route, holder, now);
  return 'fault' in admission ||
    mayTakeBeforeStop(call, admission.admitted, now)
    ? admission
    : { fault: createStoppingFault(call, now) };
};

const finishAdmission = (
  call: GatewayCall,
  configuration: GatewayConfiguration,
  route: RouteRule,
  holder: KeyHolder | undefined,
  now: Milliseconds,
): Admission => {
  const { fields, arrivedAt } = call.received;
  const name = pickService(route, call.requestId);
  const service = configuration.services.get(name ?? '');
  if (!service) {
    return { fault: noService };
  }
  const isRepeatable = route.isStream ? route.isResumable : route.isRepeatable;
  const remainingMs = fields.remainingMs ?? route.timeoutMs;
  const deadlineAt = arrivedAt + Math.min(remainingMs, route.timeoutMs);
  if (deadlineAt <= now) {
    // It waited unread, in the queue of the loop, or behind other calls of its connection.
    return { fault: noTimeLeft };
  }
  if (route.isStream) {
    call.events = new EventStream(maxEventBytes);
  }
  return {
    admitted: {
      route,
      service,
      holder,
      urgency: holder?.urgency ?? route.urgency,
      isRepeatable,
      deadlineAt,
      tokens: estimateTokens(fields.promptTokens, fields.maxOutputTokens),
      configVersion: configuration.version,
    },
  };
};

const estimateTokens = (
  promptTokens: number | undefined,
  maxOutputTokens: number | undefined,
): number =>
  promptTokens === undefined
    ? defaultCallTokens
    : promptTokens + (maxOutputTokens ?? 0);

const findHolder = (
  configuration: GatewayConfiguration,
  key: string | undefined,
): KeyHolder | undefined =>
  key === undefined ? undefined : configuration.keys?.get(key);

const toHostName = (host: string | undefined): string =>
  (host ?? '').toLowerCase().replace(/:\d*$/, '');

const overdue: CallFault = {
  status: 503,
  kind: ErrorKind.NoCapacity,
  message:
    'the call has waited too long at this gateway, which is overloaded; another one may take it sooner',
  retryAfterMs: overdueRetryAfterMs,
};

const noConfiguration: CallFault = {
  status: 503,
  kind: ErrorKind.NoCapacity,
  message: 'this gateway has no configuration yet',
  retryAfterMs: notReadyRetryAfterMs,
};

const staleConfiguration: CallFault = {
  status: 503,
  kind: ErrorKind.PlatformUnavailable,
  message:
    'the store has not confirmed the configuration for too long; another gateway may reach it',
  retryAfterMs: staleRetryAfterMs,
};

const noRequestId: CallFault = {
  status: 400,
  kind: ErrorKind.BadRequest,
  message: 'the call has no request id; send one',
};

const noRoute: CallFault = {
  status: 404,
  kind: ErrorKind.UnknownService,
  message: 'no route matches this host and path; check both',
};

const unknownKey: CallFault = {
  status: 401,
  kind: ErrorKind.UnknownAccount,
  message: 'the key belongs to no client account; use a current key',
};

const noTimeLeft: CallFault = {
  status: 503,
  kind: ErrorKind.DeadlineExceeded,
  message: 'the time limit of the call has passed before it could be sent',
};

const noService: CallFault = {
  status: 503,
  kind: ErrorKind.NoCapacity,
  message: 'the service of this route is not configured yet',
  retryAfterMs,
};
