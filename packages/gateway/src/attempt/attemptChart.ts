/** Connects the chart `gatewayAttempt` to the methods of `GatewayAttempt`. */
import { ChartName, bindChart } from '@lycheetally/charts';
import type { Result } from '@lycheetally/common';
import { connectTimeoutMs, crashCheckDelayMs } from '../constants.js';
import type {
  AttemptEvent,
  AttemptMachine,
  GatewayAttempt,
} from './gatewayAttempt.js';

/** Binds the chart `gatewayAttempt`. Fails with `BadChart`. */
export const bindAttemptChart = (): Result<AttemptMachine> =>
  bindChart<GatewayAttempt, AttemptEvent>(ChartName.GatewayAttempt, {
    actions: {
      openExchange: (attempt, _, now) => {
        attempt.chartActions.openExchange(now);
      },
      closeExchange: attempt => {
        attempt.chartActions.closeExchange();
      },
      releaseLoad: attempt => {
        attempt.chartActions.releaseLoad();
      },
      noteConnectionRefused: (attempt, event, now) => {
        attempt.chartActions.noteConnectionRefused(event, now);
      },
      noteSilent: (attempt, _, now) => {
        attempt.chartActions.noteSilent(now);
      },
      noteUnreachable: (attempt, _, now) => {
        attempt.chartActions.noteUnreachable(now);
      },
      handleFault: (attempt, event, now) => {
        attempt.chartActions.handleFault(event, now);
      },
      setError: (attempt, event) => {
        attempt.chartActions.setError(event);
      },
      noteMoved: attempt => {
        attempt.chartActions.noteMoved();
      },
      requestHedge: (attempt, _, now) => {
        attempt.chartActions.requestHedge(now);
      },
      requestReport: attempt => {
        attempt.chartActions.requestReport();
      },
      noteLost: (attempt, event) => {
        attempt.repair.noteLost(event);
      },
      requestRepair: (attempt, _, now) => {
        attempt.repair.request(now);
      },
      noteRepaired: (attempt, _, now) => {
        attempt.chartActions.noteRepaired(now);
      },
      checkEnd: attempt => {
        attempt.endCheck.check();
      },
      takeEnd: attempt => {
        attempt.answer.finish();
      },
      restartStallCheck: (attempt, _, now) => {
        attempt.chartActions.restartStallCheck(now);
      },
      reportComplete: (attempt, _, now) => {
        attempt.chartActions.reportComplete(now);
      },
      reportNotRun: (attempt, _, now) => {
        attempt.chartActions.reportNotRun(now);
      },
      reportError: (attempt, _, now) => {
        attempt.chartActions.reportError(now);
      },
      reportBroken: (attempt, _, now) => {
        attempt.chartActions.reportBroken(now);
      },
    },
    guards: {
      isClosedByServer: (_, event) => event?.isClosedByServer ?? false,
      hasLostLater: (attempt, event) =>
        event?.lost !== undefined &&
        event.lost !== attempt.chosen.first.record.serverId,
      isEndPlanned: (attempt, _, now) => attempt.endCheck.isPlanned(now),
      isConnected: attempt => attempt.chartActions.isConnected(),
      isSilent: (attempt, _, now) => attempt.chartActions.isSilent(now),
      isRepeatable: attempt => attempt.admitted.isRepeatable,
      mayRepair: (attempt, event) => attempt.repair.mayRepair(event),
      isReplacing: (attempt, event) => attempt.repair.isReplacing(event),
      mayReplace: (attempt, event, now) =>
        attempt.repair.mayReplace(event, now),
      mayHedge: (attempt, _, now) => attempt.chartActions.mayHedge(now),
      mayMove: (attempt, _, now) => attempt.chartActions.mayMove(now),
      mayGiveUp: (attempt, _, now) => attempt.chartActions.mayGiveUp(now),
    },
    delays: {
      CONNECT_TIMEOUT: () => connectTimeoutMs,
      END_CHECK_DELAY: () => crashCheckDelayMs,
      STALL_CHECK: (attempt, now) =>
        attempt.chartActions.computeStallCheckDelay(now),
    },
  });
