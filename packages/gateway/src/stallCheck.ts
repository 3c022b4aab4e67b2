/** Finds out whether the chain of a silent attempt has stalled, by the report of its first server. */
import type { Milliseconds, Result } from '@lycheetally/common';
import { createBackendFault } from './attemptFaults.js';
import { maxPartialEventMs, reportTimeoutMs } from './constants.js';
import type { GatewayAttempt } from './gatewayAttempt.js';
import { ConnectionUse, type ServerReport } from './ports.js';

/** Checks the attempt; it receives `REPORT_STALLED` or `REPORT_NOT_STALLED`, or fails at once. */
export const checkStall = (attempt: GatewayAttempt): void => {
  const { call, admitted, chosen } = attempt;
  const { services } = call;
  const now = services.getMoment().monotonic;
  if (chosen.chain.length === 0) {
    attempt.failExchange('the server was silent for too long');
    return;
  }
  if (admitted.isRepeatable && hasOverdueEvent(attempt, now)) {
    attempt.failExchange('the server began an event and did not end it');
    return;
  }
  services.metrics.countProbe();
  chosen.first.intake.noteSent(now);
  // A silent connection must not look like a stalled server.
  const report = services.control.readReport(
    chosen.first.record.address,
    reportTimeoutMs,
    ConnectionUse.New,
  );
  void report.then(result => {
    services.postCompletion(receivedAt => {
      receiveReport(attempt, result, receivedAt);
    });
  });
};

/** Whether the server sends an event in pieces that are too far apart to be sound. */
const hasOverdueEvent = (
  { call }: GatewayAttempt,
  now: Milliseconds,
): boolean => {
  const since = call.events?.partialSince;
  return since !== undefined && now - since >= maxPartialEventMs;
};

const receiveReport = (
  attempt: GatewayAttempt,
  report: Result<ServerReport>,
  now: Milliseconds,
): void => {
  const stalledAddress = report.err
    ? attempt.chosen.first.record.address
    : report.val.stalled.find(
        ({ requestId }) => requestId === attempt.call.requestId,
      )?.address;
  if (stalledAddress === undefined) {
    attempt.instance.send({ type: 'REPORT_NOT_STALLED' }, now);
    return;
  }
  const reason = 'a chain stalled there';
  attempt.blame.reportUnreachable(stalledAddress, reason, now);
  const fault = createBackendFault(`the chain stalled at ${stalledAddress}`);
  const lost = attempt.servers.findStage(stalledAddress);
  attempt.instance.send({ type: 'REPORT_STALLED', fault, lost }, now);
};
