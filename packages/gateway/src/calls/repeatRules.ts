/** Decides whether a call may get another attempt. */
import type { Milliseconds } from '@lycheetally/common';
import {
  chooseAlive,
  chooseServers,
  type ProofOfLife,
} from './chooseServers.js';
import { mayEndBeforeStop, mayTakeBeforeStop } from './drainAdmission.js';
import type { AdmittedCall, GatewayCall } from './gatewayCall.js';
import { findSuspectFault } from '../suspects/suspectCalls.js';

/**
 * Why nothing is sent for the call any more, as the event for its chart. It is asked at each
 * send: the events that say so may still wait in the queue of the loop.
 */
export const findEndOfCall = (
  { caller, admitted }: GatewayCall,
  now: Milliseconds,
): 'CALLER_DISCONNECTED' | 'TIME_OVER' | undefined => {
  if (caller.hasLeft) {
    return 'CALLER_DISCONNECTED';
  }
  return admitted && admitted.deadlineAt <= now ? 'TIME_OVER' : undefined;
};

/** Whether a stopping gateway starts an attempt now; a stream that has begun goes on as long as it can. */
export const mayStartAttempt = (
  call: GatewayCall,
  now: Milliseconds,
): boolean =>
  call.hasBegunStream ||
  call.admitted === undefined ||
  mayTakeBeforeStop(call, call.admitted, now);

/** Whether a stopping gateway would start another attempt. */
const mayStartAnother = (call: GatewayCall, now: Milliseconds): boolean =>
  call.hasBegunStream ||
  call.admitted === undefined ||
  mayEndBeforeStop(call, call.admitted, now);

/** Whether a call that has not run may be sent again. */
export const mayRetry = (call: GatewayCall, now: Milliseconds): boolean =>
  mayStartAnother(call, now) &&
  call.services.retryPolicy.mayRetry(call.toRequestView(), now);

/** Whether a call that may have run may run again; a second run that goes on counts too. */
export const mayRepeat = (call: GatewayCall, now: Milliseconds): boolean =>
  call.runs + (call.hedge ? 1 : 0) < (call.admitted?.route.maxAttempts ?? 1) &&
  mayStartAnother(call, now) &&
  !isSuspectRefused(call, now) &&
  call.services.retryPolicy.mayRepeat(call.toRequestView(), now);

/** Whether servers that are known to live can take a running call: only then is the running attempt worth giving up. */
export const mayMove = (
  call: GatewayCall,
  admitted: AdmittedCall,
  proof: ProofOfLife,
  now: Milliseconds,
): boolean =>
  mayRunAgain(call, admitted, now) &&
  chooseAlive(call, admitted, proof, now) !== undefined;

/** Whether a running call whose server is gone may run on another one. */
export const mayRunElsewhere = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): boolean =>
  mayRunAgain(call, admitted, now) &&
  chooseServers(call, admitted, now) !== undefined;

/** Whether the call may run once more when its running attempt ends. */
const mayRunAgain = (
  call: GatewayCall,
  admitted: AdmittedCall,
  now: Milliseconds,
): boolean =>
  admitted.isRepeatable &&
  call.runs + 1 < admitted.route.maxAttempts &&
  mayRepeat(call, now);

/** Whether the call must not be sent, since it crashes servers, or may. */
export const isSuspectRefused = (
  call: GatewayCall,
  now: Milliseconds,
): boolean => findSuspectFault(call, now) !== undefined;
