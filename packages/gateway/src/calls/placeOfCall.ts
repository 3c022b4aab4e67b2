/** Describes a call to the wait queue of its service, and hands on what the queue decides. */
import { ErrorKind, type Milliseconds } from '@lycheetally/common';
import {
  Outcome,
  QueueDecision,
  RefusalReason,
  RunEnd,
  defaultPauseTargetMs,
  type ChainOutlook,
  type QueuedCallView,
  type Refusal,
} from '@lycheetally/decisions';
import type { CallPlace } from '../waiting/callPlace.js';
import type { AdmittedCall, CallFault, GatewayCall } from './gatewayCall.js';

/** Whether the call may choose its servers now; otherwise it waits or is refused. */
export const takePlace = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): boolean => {
  const place = (call.place ??= createPlace(call, admitted));
  if (!place || place.hasPlace) {
    return true;
  }
  const decision = place.decide(describeCall(call, admitted, place), now);
  applyDecision(call, decision, now);
  return decision === QueueDecision.Run;
};

/** Puts a call that found no chain into the queue, or refuses it; returns whether its service has a queue. */
export const waitForChain = (
  call: GatewayCall,
  admitted: AdmittedCall,
  outlook: ChainOutlook,
  now: Milliseconds,
): boolean => {
  const { place } = call;
  if (place) {
    const view = describeCall(call, admitted, place);
    applyDecision(call, place.decideWithoutChain(view, outlook, now), now);
  }
  return place !== undefined;
};

/** Ends the place of a call that has ended. */
export const endPlace = (
  call: GatewayCall,
  outcome: string,
  status: number,
  now: Milliseconds,
): void => {
  const hasFailed =
    call.runs > 0 &&
    (outcome === Outcome.Failed || outcome === Outcome.Unknown);
  const isComplete = outcome === Outcome.Complete && status < 400;
  const otherEnd = hasFailed ? RunEnd.Failed : RunEnd.Cancelled;
  call.place?.end(isComplete ? RunEnd.Complete : otherEnd, now);
};

const createPlace = (
  call: GatewayCall,
  { service }: AdmittedCall,
): CallPlace | undefined =>
  call.services.places.createPlace(service, () => call.identity.id, {
    handleGranted: now => {
      call.instance?.send({ type: 'GRANTED' }, now);
    },
    handleRefused: (refusal, now) => {
      const fault = createWaitFault(refusal);
      call.instance?.send({ type: 'GAVE_WAY', fault }, now);
    },
  });

const applyDecision = (
  call: GatewayCall,
  decision: QueueDecision,
  now: Milliseconds,
): void => {
  if (decision === QueueDecision.Wait) {
    call.instance?.send({ type: 'QUEUED' }, now);
  } else if (decision !== QueueDecision.Run) {
    const fault = createWaitFault(decision);
    call.instance?.send({ type: 'GAVE_WAY', fault }, now);
  }
};

/** A stream under way is on time as long as its caller has had an event lately. */
const describeCall = (
  call: GatewayCall,
  admitted: AdmittedCall,
  place: CallPlace,
): QueuedCallView => {
  const { route, service, holder, urgency, deadlineAt, tokens } = admitted;
  const { arrivedAt } = call.received;
  return {
    id: place.id,
    service: service.name,
    urgency,
    account: holder?.account ?? '',
    kind: route.name,
    arrivedAt,
    targetAt: call.hasStartedResponse
      ? call.lastActivityAt
      : arrivedAt + route.targetMs,
    deadlineAt,
    expectedTokens: tokens,
    spentTokens: call.runs * tokens,
    isUnderWay: call.hasStartedResponse,
    ...place.findRefused(),
    targets: {
      firstMs: route.targetMs,
      pauseMs: route.isStream
        ? (route.maxPauseMs ?? defaultPauseTargetMs)
        : undefined,
    },
    bytes: call.received.body.length,
  };
};

const createWaitFault = ({ reason, returnMs }: Refusal): CallFault => ({
  status: 503,
  kind: ErrorKind.NoCapacity,
  message: messages[reason],
  retryAfterMs: returnMs,
});

const messages: Readonly<Record<RefusalReason, string>> = {
  [RefusalReason.Late]:
    'the call would get its place too late; come back at the time given',
  [RefusalReason.NoChain]:
    'no chain of servers is to be expected in time; come back at the time given',
  [RefusalReason.Full]: 'more urgent or smaller calls fill the queue',
  [RefusalReason.Old]: 'the call has waited as long as a call may',
  [RefusalReason.Early]: 'the call came back before the time that it was given',
};
