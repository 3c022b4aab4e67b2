/**
 * A second run of a call beside one whose server is silent.
 *
 * A silence may be a pause or a loss, so the call neither waits for its end nor leaves: both runs go
 * on, the first that has something to deliver answers the call, and the other is cancelled.
 */
import type { Milliseconds } from '@lycheetally/common';
import { chooseAlive, type ChosenServers } from './chooseServers.js';
import type { GatewayAttempt } from '../attempt/gatewayAttempt.js';
import type { GatewayCall } from './gatewayCall.js';
import { toTracedCall } from '../suspects/suspectCalls.js';

/** Chooses servers that are known to live and that the running attempt does not use. */
export const chooseHedge = (
  attempt: GatewayAttempt,
  now: Milliseconds,
): ChosenServers | undefined => {
  const { call, admitted, servers, silence } = attempt;
  if (
    silence.isShared(now) ||
    !call.services.suspects.mayRunTwice(toTracedCall(call))
  ) {
    return undefined;
  }
  const chosen = chooseAlive(call, admitted, silence.proof, now);
  return chosen && !servers.hasAny(chosen) ? chosen : undefined;
};

/**
 * Whether the caller gets what the attempt delivers now. Of two runs the first that
 * delivers gets the call; the loop cancels the other one later, which delivers nothing more.
 */
export const claimAnswer = (attempt: GatewayAttempt): boolean => {
  const { call } = attempt;
  if (call.hedge && !call.answeredBy) {
    call.answeredBy = attempt;
    call.services.postCompletion(now => {
      call.instance?.send({ type: 'HEDGE_DECIDED' }, now);
    });
  }
  return isAnswering(attempt);
};

/** Whether the attempt is the only one that can answer its call. */
export const isAnswering = (attempt: GatewayAttempt): boolean => {
  const { call } = attempt;
  return (call.hedge ? call.answeredBy : call.attempt) === attempt;
};

/** Cancels the run that has lost. */
export const settleHedge = (call: GatewayCall, now: Milliseconds): void => {
  const { answeredBy, hedge, services } = call;
  const loser = findOtherRun(call, answeredBy);
  if (!answeredBy || !hedge || !loser) {
    return;
  }
  const outcome = answeredBy === hedge ? 'second answered' : 'first answered';
  services.metrics.countHedge(outcome);
  services.log.info('One of two runs answers a call; the other is cancelled.', {
    request: call.requestId,
    outcome,
    server: answeredBy.chosen.first.record.serverId,
    cancelled: loser.chosen.first.record.serverId,
    headFrom: call.headFrom ?? '',
    lastEvent: call.events?.lastEventId ?? '',
  });
  cancelAttempt(loser, now);
  keepAttempt(call, answeredBy);
};

/** Whether the other one of two runs can go on alone; one that began before the caller had the events of this run cannot. */
export const mayDrop = (
  call: GatewayCall,
  ended: GatewayAttempt | undefined,
): boolean => call.hedge !== undefined && call.answeredBy !== ended;

/** Goes on with the other one of two runs after this one has ended without an answer. */
export const dropAttempt = (
  call: GatewayCall,
  ended: GatewayAttempt | undefined,
): void => {
  call.services.metrics.countHedge('one failed');
  keepAttempt(call, findOtherRun(call, ended));
};

/** Takes the end of this run for that of the call, and cancels the other run if there is one. */
export const keepEnded = (
  call: GatewayCall,
  ended: GatewayAttempt | undefined,
  now: Milliseconds,
): void => {
  const other = findOtherRun(call, ended);
  if (call.hedge && ended && other) {
    cancelAttempt(other, now);
    keepAttempt(call, ended);
  }
};

/**
 * Finds the run whose whole answer has come and waits to be handled; of two runs only one that
 * may still answer the call.
 */
export const findWholeRun = (call: GatewayCall): GatewayAttempt | undefined =>
  listAttempts(call).find(
    attempt =>
      attempt.answer.hasEnded &&
      !attempt.instance.isFinal &&
      (call.answeredBy ?? attempt) === attempt,
  );

/** Whether the other one of two runs answers the call, or gets its answer as far as is known. */
export const hasLivingRun = (
  call: GatewayCall,
  ended: GatewayAttempt | undefined,
): boolean => {
  const other = findOtherRun(call, ended);
  return (
    call.hedge !== undefined &&
    other !== undefined &&
    (call.answeredBy === other || !other.chosen.first.isSilent)
  );
};

/** Finds the other one of two runs. */
const findOtherRun = (
  { attempt, hedge }: GatewayCall,
  run: GatewayAttempt | undefined,
): GatewayAttempt | undefined => (run === hedge ? attempt : hedge);

const keepAttempt = (
  call: GatewayCall,
  attempt: GatewayAttempt | undefined,
): void => {
  call.attempt = attempt;
  call.hedge = undefined;
  call.answeredBy = undefined;
};

/** Lists the attempts that run or were the last to run. */
export const listAttempts = ({
  attempt,
  hedge,
}: GatewayCall): readonly GatewayAttempt[] =>
  [attempt, hedge].filter(each => each !== undefined);

/** Cancels what runs. */
export const cancelAttempts = (call: GatewayCall, now: Milliseconds): void => {
  listAttempts(call).forEach(attempt => {
    cancelAttempt(attempt, now);
  });
};

const cancelAttempt = (attempt: GatewayAttempt, now: Milliseconds): void => {
  const { call, instance, silence } = attempt;
  if (!instance.isFinal && instance.state !== '') {
    silence.noteEnd(now);
    instance.send({ type: 'CANCEL' }, now);
    call.runs += 1;
  }
};
