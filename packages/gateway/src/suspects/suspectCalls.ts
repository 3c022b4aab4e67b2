/** Asks the tracker of suspects about calls, and turns its refusals into faults. */
import type { Milliseconds } from '@lycheetally/common';
import type { CallFault, GatewayCall } from '../calls/gatewayCall.js';
import type { SuspectDecision, TracedCall } from './suspectTracker.js';

/** Events after which a server is certain to write an answer. */
const minEventsUnderWay = 2;

export const isAnswerUnderWay = (events: number): boolean =>
  events >= minEventsUnderWay;

export const toTracedCall = (call: GatewayCall): TracedCall => ({
  requestId: call.requestId,
  service: call.admitted?.service.name ?? '',
  parts: call.received.fields.promptParts,
  identity: call.identity,
});

/** Asks once for each call whether it may be sent; returns the fault if one of its traits forbids it. */
export const decideFirstAttempt = (
  call: GatewayCall,
  now: Milliseconds,
): CallFault | undefined => {
  const decision = call.services.suspects.decideFirstAttempt(
    toTracedCall(call),
    now,
  );
  call.isTrial = decision.isAllowed && decision.isTrial;
  if (!decision.isAllowed) {
    countRefusal(call, decision, 'admission');
  }
  return createFault(decision, refusalStatus);
};

/** Returns the fault if a call must not be sent, or not once more: it crashes servers, or may. */
export const findSuspectFault = (
  call: GatewayCall,
  now: Milliseconds,
): CallFault | undefined =>
  call.runs > 0 ? findRepeatFault(call, now) : findVerdictFault(call, now);

/** Counts a call that is not sent, or not once more, after it was admitted; one that runs once in any case loses nothing. */
export const noteSuspectRefusal = (
  call: GatewayCall,
  now: Milliseconds,
): void => {
  const decision = decideAttempt(call, now);
  if (call.runs === 0) {
    countRefusal(call, decision, 'admission');
  } else if (call.admitted?.isRepeatable) {
    countRefusal(call, decision, 'repeat');
  }
};

/** Nothing forbids to resume an answer that was under way. */
const findRepeatFault = (
  call: GatewayCall,
  now: Milliseconds,
): CallFault | undefined =>
  isAnswerUnderWay(call.eventsReceived)
    ? undefined
    : createFault(decideAttempt(call, now), failureStatus);

/** A call that waits for a server may meet a verdict that came after its admission. */
const findVerdictFault = (
  call: GatewayCall,
  now: Milliseconds,
): CallFault | undefined =>
  call.isTrial
    ? undefined
    : createFault(decideAttempt(call, now), refusalStatus);

const decideAttempt = (
  call: GatewayCall,
  now: Milliseconds,
): SuspectDecision => {
  const { suspects } = call.services;
  const traced = toTracedCall(call);
  return call.runs > 0
    ? suspects.decideRepeat(traced, now)
    : suspects.decideDelayedAttempt(traced, now);
};

/** Status of a call that did not run. */
const refusalStatus = 503;

/** Status of a call that ran, or may have. */
const failureStatus = 502;

const createFault = (
  decision: SuspectDecision,
  status: typeof refusalStatus | typeof failureStatus,
): CallFault | undefined => {
  if (decision.isAllowed) {
    return undefined;
  }
  const { trait, retryAfterMs } = decision;
  return status === refusalStatus
    ? {
        status,
        kind: trait.errorKind,
        message: trait.describeRefusal(),
        retryAfterMs,
      }
    : {
        status,
        kind: trait.errorKind,
        message: trait.describeRefusedRepeat(),
      };
};

const countRefusal = (
  { services, admitted }: GatewayCall,
  decision: SuspectDecision,
  at: 'admission' | 'repeat',
): void => {
  if (!decision.isAllowed) {
    const service = admitted?.service.name ?? '';
    services.metrics.countSuspectRefusal(service, at, decision.trait.kind);
  }
};
