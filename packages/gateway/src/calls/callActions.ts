/** Actions, guards and delays of the chart `gatewayCall`. */
import {
  ChartName,
  bindChart,
  type ChartAction,
  type ChartMachine,
} from '@lycheetally/charts';
import { ErrorKind, type Milliseconds, type Result } from '@lycheetally/common';
import { Outcome } from '@lycheetally/decisions';
import { admitCall } from './admitCall.js';
import type { AttemptAnswer } from '../attempt/attemptAnswer.js';
import { createBackendFault, isSuccess } from '../attempt/attemptFaults.js';
import type { BackendHead } from '../backendPort.js';
import {
  cancelAttempts,
  dropAttempt,
  findWholeRun,
  hasLivingRun,
  keepEnded,
  mayDrop,
  settleHedge,
} from './callHedge.js';
import {
  chooseServers,
  estimateHold,
  estimateIntakeWait,
  mayReturnForCall,
} from './chooseServers.js';
import {
  maxCheckWaitMs,
  maxIntakeRetryMs,
  maxResumeWaitMs,
  maxWaitShare,
  retryAfterMs,
  routeRetryDelayMs,
  silentRetryDelayMs,
} from '../constants.js';
import { createStoppingFault, noteOpened } from './drainAdmission.js';
import { GatewayAttempt } from '../attempt/gatewayAttempt.js';
import type { CallEvent, CallFault, GatewayCall } from './gatewayCall.js';
import { endPlace, takePlace, waitForChain } from './placeOfCall.js';
import { startHedge } from './startHedge.js';
import {
  decideFirstAttempt,
  findSuspectFault,
  noteSuspectRefusal,
} from '../suspects/suspectCalls.js';
import {
  findEndOfCall,
  isSuspectRefused,
  mayRepeat,
  mayRetry,
  mayStartAttempt,
} from './repeatRules.js';

export type CallMachine = ChartMachine<GatewayCall, CallEvent>;
type CallAction = ChartAction<GatewayCall, CallEvent>;

const decideAdmission: CallAction = (call, _, now) => {
  const admission = admitCall(call, now);
  if ('fault' in admission) {
    call.instance?.send({ type: 'REFUSED', fault: admission.fault }, now);
    return;
  }
  call.admitted = admission.admitted;
  noteOpened(call, admission.admitted);
  const fault = decideFirstAttempt(call, now);
  if (fault) {
    call.instance?.send({ type: 'REFUSED', fault }, now);
    return;
  }
  call.services.retryPolicy.noteRequest(call.toRequestView(), now);
  call.instance?.send({ type: 'ADMITTED' }, now);
};

const createAttempt: CallAction = (call, _, now) => {
  const { admitted } = call;
  const end = findEndOfCall(call, now);
  if (end) {
    call.instance?.send({ type: end }, now);
    return;
  }
  if (!mayStartAttempt(call, now)) {
    // It waited for a server, and the time that was left has become too short.
    const fault = createStoppingFault(call, now);
    call.instance?.send({ type: 'STOPPING', fault }, now);
    return;
  }
  const suspectFault = findSuspectFault(call, now);
  if (suspectFault) {
    call.instance?.send({ type: 'SUSPECT_REFUSED', fault: suspectFault }, now);
    return;
  }
  if (admitted && !takePlace(call, admitted, now)) {
    return;
  }
  const chosen = admitted && chooseServers(call, admitted, now);
  if (!admitted || !chosen) {
    call.intakeWaitMs = admitted ? estimateIntakeWait(call, admitted, now) : 0;
    call.isWaitingForSilent =
      admitted !== undefined && mayReturnForCall(call, admitted, now);
    call.services.waitingCalls.add(call);
    const outlook = {
      waitMs: call.intakeWaitMs,
      mayReturn: call.isWaitingForSilent,
    };
    if (admitted && waitForChain(call, admitted, outlook, now)) {
      return;
    }
    const holdMs = admitted ? estimateHold(call, admitted, now) : 0;
    call.heldSince = holdMs > 0 ? (call.heldSince ?? now) : undefined;
    const fault =
      holdMs > 0
        ? createHoldFault(holdMs)
        : createCapacityFault(call.intakeWaitMs);
    call.instance?.send({ type: 'UNROUTABLE', fault }, now);
    return;
  }
  call.services.waitingCalls.remove(call);
  call.isWaitingForSilent = false;
  call.place?.noteChain(chosen.hasRoom, now);
  call.attempt = new GatewayAttempt(call, admitted, chosen, now);
  call.instance?.send({ type: 'ROUTED' }, now);
};

const createCapacityFault = (intakeWaitMs: Milliseconds): CallFault => ({
  status: 503,
  kind: ErrorKind.NoCapacity,
  message:
    intakeWaitMs > 0
      ? 'the backend servers take no more calls now, by the limits that they name'
      : 'no backend server can take the call now',
  retryAfterMs:
    intakeWaitMs > 0 ? Math.min(intakeWaitMs, maxIntakeRetryMs) : retryAfterMs,
});

const createHoldFault = (holdMs: Milliseconds): CallFault => ({
  status: 503,
  kind: ErrorKind.NoCapacity,
  message:
    'servers crashed with this request, and it is not sent to the last one; send it again when they are back',
  retryAfterMs: Math.max(holdMs, retryAfterMs),
});

const startAttempt: CallAction = (call, _, now) => {
  call.attempts += 1;
  call.attempt?.instance.start(now);
};

/** Counts a retry when it is decided, not when it is sent, so that waiting calls do not all spend the same retry of the budget. */
const noteRetry: CallAction = (call, _, now) => {
  call.services.retryPolicy.noteRetry(call.toRequestView(), now);
};

const setError: CallAction = (call, event) => {
  call.fault = event?.fault ?? call.fault;
};

const setSuspectError: CallAction = (call, event, now) => {
  noteSuspectRefusal(call, now);
  call.fault = findSuspectFault(call, now) ?? event?.fault ?? call.fault;
};

const decideOutcome: CallAction = (call, _, now) => {
  cancelAttempts(call, now);
  const runEvent = call.runs > 0 ? 'MAY_HAVE_RUN' : 'NEVER_RAN';
  call.instance?.send(
    { type: call.hasStartedResponse ? 'RESPONSE_STARTED' : runEvent },
    now,
  );
};

const finishResponse: CallAction = (call, _, now) => {
  const { attempt, caller } = call;
  if (call.hasStartedResponse) {
    caller.end();
  } else if (attempt?.answer.head) {
    const sent = sendBuffered(call, attempt.answer, attempt.answer.head);
    if (sent.err) {
      const fault = createBackendFault(sent.val.message);
      call.fault = fault;
      endWithError(call, Outcome.Unknown, fault, now);
      return;
    }
  }
  const status = attempt?.answer.head?.status ?? 0;
  endCall(call, Outcome.Complete, status, now);
};

const sendBuffered = (
  { caller }: GatewayCall,
  answer: AttemptAnswer,
  { status, statusText, fields }: BackendHead,
): Result<void> =>
  caller.sendResponse({
    status,
    text: statusText,
    headers: fields.forwarded,
    body: answer.takeBody(),
    isFramed: fields.isFramed,
  });

/** Keeps the reason for the log; the caller gets the server's error response unchanged. */
const noteForwardedError: CallAction = (call, event) => {
  call.fault = event?.fault ?? call.fault;
};

const endWithError = (
  call: GatewayCall,
  outcome: string,
  fault: CallFault,
  now: Milliseconds,
): void => {
  call.caller.sendError({ ...fault, outcome });
  endCall(call, outcome, fault.status, now);
};

const sendRefusal: CallAction = (call, _, now) => {
  const fault = call.fault ?? unknownFault;
  const isCallerError = fault.status >= 400 && fault.status < 500;
  const refusal = isCallerError
    ? fault
    : {
        ...fault,
        status: 503,
        retryAfterMs: fault.retryAfterMs ?? retryAfterMs,
      };
  endWithError(call, Outcome.NotRun, refusal, now);
};

const sendFailure: CallAction = (call, _, now) => {
  const fault = { ...(call.fault ?? unknownFault), status: 502 };
  endWithError(
    call,
    Outcome.Unknown,
    { ...fault, retryAfterMs: undefined },
    now,
  );
};

const sendTimeout: CallAction = (call, _, now) => {
  cancelAttempts(call, now);
  const outcome = call.runs > 0 ? Outcome.Unknown : Outcome.NotRun;
  endWithError(call, outcome, timeoutFault, now);
};

const dropConnection: CallAction = (call, _, now) => {
  call.caller.closeConnection();
  endCall(call, Outcome.Failed, 0, now);
};

const cancelCall: CallAction = (call, _, now) => {
  cancelAttempts(call, now);
  endCall(call, outcomeDisconnected, 0, now);
};

/** Outcome of a call whose caller disconnected before the end of its response. */
const outcomeDisconnected = 'left';

const unknownFault: CallFault = {
  status: 503,
  kind: ErrorKind.NoCapacity,
  message: 'the call could not be sent',
};

const timeoutFault: CallFault = {
  status: 504,
  kind: ErrorKind.DeadlineExceeded,
  message: 'the time limit of the call has passed',
};

const endCall = (
  call: GatewayCall,
  outcome: string,
  status: number,
  now: Milliseconds,
): void => {
  const { services, received, admitted, attempt, firstByteAt } = call;
  const { receivedAt } = received;
  services.metrics.countCall(
    admitted?.service.name ?? '',
    outcome,
    status,
    now - receivedAt,
    firstByteAt === undefined ? undefined : firstByteAt - receivedAt,
  );
  if (attempt && admitted) {
    const { name } = admitted.service;
    services.metrics.observeSilence(name, outcome, call.longestSilenceMs);
  }
  if (isCutByStop(call, outcome)) {
    services.metrics.countCutByStop();
  }
  services.log.info('A call ended.', {
    request: call.requestId,
    outcome,
    status,
    route: admitted?.route.name ?? '',
    service: admitted?.service.name ?? '',
    account: admitted?.holder?.account ?? '',
    urgency: admitted?.urgency ?? 0,
    configuration: admitted?.configVersion ?? 0,
    attempts: call.attempts,
    runs: call.runs,
    server: attempt?.chosen.first.record.serverId ?? '',
    stages: attempt?.chosen.chain.length ?? 0,
    firstByteMs:
      firstByteAt === undefined ? -1 : Math.round(firstByteAt - receivedAt),
    serverLoad: attempt?.answer.head?.fields.serverLoad ?? -1,
    longestPauseMs: Math.round(call.longestPauseMs),
    longestSilenceMs: Math.round(call.longestSilenceMs),
    durationMs: Math.round(now - receivedAt),
    ...call.describeWaits(now),
    ...attempt?.times.describe(),
    afterStopMs: Math.round(services.drainPeriod.measureSinceStop(receivedAt)),
    maxOutputTokens: received.fields.maxOutputTokens ?? -1,
    hintedOutputTokens: received.fields.hintedOutputTokens ?? -1,
    forecastShare: toPrinted(call.drainForecast?.share),
    forecastSamples: call.drainForecast?.samples ?? -1,
    forecastMs: Math.round(call.drainForecast?.slowestMs ?? -1),
    drainLeftMs: Math.round(call.drainForecast?.timeLeftMs ?? -1),
    wasConnectionKept: received.isOnKeptConnection,
    ...attempt?.answer.describe(),
    ...call.place?.describe(),
    headFrom: call.headFrom ?? '',
    events: call.eventsReceived,
    lastEvent: call.events?.lastEventId ?? '',
    reason: outcome === Outcome.Complete ? '' : (call.fault?.message ?? ''),
  });
  call.noteEnd?.(outcome === Outcome.Complete && isSuccess(status), now);
  call.instance?.dispose();
  services.waitingCalls.remove(call);
  endPlace(call, outcome, status, now);
  services.handleCallEnded(call);
};

/** Returns a share with the digits of a log line; -1 if there is none. */
const toPrinted = (share = -1): number => Math.round(share * 1_000) / 1_000;

/** Whether the process stopped before the call had a full answer, though it may have run. */
const isCutByStop = ({ fault }: GatewayCall, outcome: string): boolean =>
  fault?.kind === ErrorKind.ShuttingDown &&
  (outcome === Outcome.Failed || outcome === Outcome.Unknown);

/**
 * Whether the call may wait for a server. Before its response starts it may do
 * so only for a short time, so that a refusal still comes early. One that has run waits
 * until it is known whether its server crashed, as it would fail otherwise; only for servers
 * that may be back at any moment it waits until its deadline.
 */
const mayWait = (call: GatewayCall, now: Milliseconds): boolean => {
  const { admitted, received, intakeWaitMs } = call;
  if (call.isWaitingForSilent) {
    return true;
  }
  if (call.hasBegunStream) {
    return now + intakeWaitMs - call.lastActivityAt < maxResumeWaitMs;
  }
  const { runs, heldSince = -Infinity } = call;
  if (runs > 0 && now - heldSince < maxCheckWaitMs) {
    return true;
  }
  const maxWaitMs = (admitted?.route.targetMs ?? 0) * maxWaitShare;
  const delayMs = Math.max(routeRetryDelayMs, intakeWaitMs);
  return now + delayMs - received.arrivedAt <= maxWaitMs;
};

/** Binds the chart `gatewayCall`. Fails with `BadChart`. */
export const bindCallChart = (): Result<CallMachine> =>
  bindChart<GatewayCall, CallEvent>(ChartName.GatewayCall, {
    actions: {
      decideAdmission,
      createAttempt,
      startAttempt,
      startHedge: (call, _, now) => {
        startHedge(call, now);
      },
      settleHedge: (call, _, now) => {
        settleHedge(call, now);
      },
      dropAttempt: (call, event) => {
        dropAttempt(call, event?.attempt);
      },
      keepEnded: (call, event, now) => {
        keepEnded(call, event?.attempt, now);
      },
      keepWhole: (call, _, now) => {
        keepEnded(call, findWholeRun(call), now);
      },
      setError,
      setSuspectError,
      noteRetry,
      noteForwardedError,
      decideOutcome,
      finishResponse,
      sendRefusal,
      sendFailure,
      sendTimeout,
      dropConnection,
      cancelCall,
    },
    guards: {
      mayDrop: (call, event) => mayDrop(call, event?.attempt),
      mayGoOn: (call, event) =>
        call.hasStartedResponse && mayDrop(call, event?.attempt),
      hasLivingRun: (call, event) => hasLivingRun(call, event?.attempt),
      mayRetry: (call, _, now) => mayRetry(call, now),
      mayRepeat: (call, _, now) => mayRepeat(call, now),
      mayResume: (call, _, now) =>
        call.hasStartedResponse && mayRepeat(call, now),
      mayWait: (call, _, now) => mayWait(call, now),
      isSuspectRefused: (call, _, now) => isSuspectRefused(call, now),
      hasStartedResponse: call => call.hasStartedResponse,
      hasWholeAnswer: call => findWholeRun(call) !== undefined,
    },
    delays: {
      TIME_LIMIT: (call, now) => (call.admitted?.deadlineAt ?? now) - now,
      ROUTE_RETRY_DELAY: call =>
        call.isWaitingForSilent ? silentRetryDelayMs : routeRetryDelayMs,
    },
  });
