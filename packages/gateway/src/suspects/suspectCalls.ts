/** Asks the tracker of prompt parts about calls, and words its refusals. */
import { ErrorKind, type Milliseconds } from '@lycheetally/common';
import type { CallFault, GatewayCall } from '../gatewayCall.js';
import type { TracedCall } from './suspectTracker.js';

/** Events after which a server is certain to write an answer. */
const minEventsUnderWay = 2;

export const isAnswerUnderWay = (events: number): boolean =>
  events >= minEventsUnderWay;

export const toTracedCall = (call: GatewayCall): TracedCall => ({
  requestId: call.requestId,
  service: call.admitted?.service.name ?? '',
  parts: call.received.fields.promptParts,
});

/** Asks once for each call whether it may be sent; returns the fault if a part of its prompt forbids it. */
export const decideFirstAttempt = (
  call: GatewayCall,
  now: Milliseconds,
): CallFault | undefined => {
  const prompt = toTracedCall(call);
  if (prompt.parts.length === 0) {
    return undefined;
  }
  const { suspects, metrics } = call.services;
  const decision = suspects.decideFirstAttempt(prompt, now);
  if (decision.isAllowed) {
    return undefined;
  }
  metrics.countSuspectRefusal(prompt.service, 'admission');
  return createPromptFault(
    `backend servers crash when they begin to answer a prompt with the part ${decision.part}; send the call without it`,
    decision.retryAfterMs,
  );
};

/** Returns the fault if a part of its prompt forbids to send a broken call once more; nothing forbids to resume an answer that was under way. */
export const findRepeatFault = (
  call: GatewayCall,
  now: Milliseconds,
): CallFault | undefined => {
  const prompt = toTracedCall(call);
  const isSuspect =
    call.runs > 0 &&
    prompt.parts.length > 0 &&
    !isAnswerUnderWay(call.eventsReceived);
  if (!isSuspect) {
    return undefined;
  }
  const decision = call.services.suspects.decideRepeat(prompt, now);
  return decision.isAllowed
    ? undefined
    : createPromptFault(
        `the server crashed when it began to answer, and the part ${decision.part} of the prompt may be the cause; the call was not sent to another server, send it without the part`,
        decision.retryAfterMs,
      );
};

export const noteRefusedRepeat = ({
  services,
  admitted,
}: GatewayCall): void => {
  services.metrics.countSuspectRefusal(admitted?.service.name ?? '', 'repeat');
};

const createPromptFault = (
  message: string,
  retryAfterMs: Milliseconds,
): CallFault => ({
  status: 503,
  kind: ErrorKind.PromptPartRefused,
  message,
  retryAfterMs,
});
