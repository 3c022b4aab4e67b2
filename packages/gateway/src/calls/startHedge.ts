/** Starts the second run of a call whose server is silent. */
import type { Milliseconds } from '@lycheetally/common';
import { chooseHedge } from './callHedge.js';
import { GatewayAttempt } from '../attempt/gatewayAttempt.js';
import type { GatewayCall } from './gatewayCall.js';
import { findEndOfCall } from './repeatRules.js';

/** Starts a second run of the call; it counts as a retry. */
export const startHedge = (call: GatewayCall, now: Milliseconds): void => {
  const { attempt, services } = call;
  const chosen = attempt && chooseHedge(attempt, now);
  if (!chosen || call.hedge || findEndOfCall(call, now)) {
    return;
  }
  services.retryPolicy.noteRetry(call.toRequestView(), now);
  call.attempts += 1;
  call.hedge = new GatewayAttempt(call, attempt.admitted, chosen, now);
  services.metrics.countHedge('started');
  services.log.info('A silent call runs at a second server too.', {
    request: call.requestId,
    server: attempt.chosen.first.record.serverId,
    silentMs: Math.round(attempt.silence.measure(now)),
    second: chosen.first.record.serverId,
    lastEvent: call.events?.lastEventId ?? '',
  });
  call.hedge.instance.start(now);
};
