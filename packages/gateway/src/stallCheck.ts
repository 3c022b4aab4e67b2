/**
 * Finds out why an attempt is silent, by the report of its first server.
 *
 * A server that answers has stalled this attempt alone, or names the server at which its
 * chain stalled. One that doesn't answer is silent, which may be a pause. Either way the
 * attempt moves only if another server can take it.
 */
import type { Milliseconds, Result } from '@lycheetally/common';
import { createBackendFault } from './attemptFaults.js';
import { maxPartialEventMs, reportTimeoutMs } from './constants.js';
import type { GatewayAttempt } from './gatewayAttempt.js';
import { ConnectionUse, type ServerReport } from './ports.js';
import { isRefused } from './serverCheck.js';

/** Checks the attempt; it receives `CHECKED` or `SILENT`, or fails at once. */
export const checkStall = (attempt: GatewayAttempt): void => {
  const { call, admitted, chosen } = attempt;
  const { services } = call;
  const now = services.getMoment().monotonic;
  if (admitted.isRepeatable && hasOverdueEvent(attempt, now)) {
    attempt.failExchange('the server began an event and did not end it');
    return;
  }
  const { first } = chosen;
  if (first.isSilent) {
    sendSilent(attempt, now);
    return;
  }
  services.metrics.countProbe();
  first.intake.noteSent(now);
  // A silent connection must not look like a stalled server.
  const report = services.control.readReport(
    first.record.address,
    reportTimeoutMs,
    ConnectionUse.New,
  );
  void report.then(result => {
    services.postCompletion(receivedAt => {
      if (result.ok) {
        first.noteAnswer(now, receivedAt);
      }
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
  const { call, chosen } = attempt;
  const { lossHandler, serverRegistry } = call.services;
  if (isRefused(report)) {
    lossHandler.noteRefused(chosen.first, 'it refuses connections', now);
    attempt.instance.send({ type: 'CHECKED' }, now);
    return;
  }
  if (report.err) {
    lossHandler.noteSilent(chosen.first, 'it sends no report', now);
    sendSilent(attempt, now);
    return;
  }
  if (chosen.chain.length === 0) {
    attempt.endStalled(now);
    return;
  }
  const stalled = report.val.stalled.find(
    ({ requestId }) => requestId === call.requestId,
  );
  const server = serverRegistry.findByAddress(stalled?.address ?? '');
  if (server) {
    lossHandler.noteSilent(server, 'a chain stalled there', now);
    const fault = createBackendFault(
      `the chain stalled at ${server.record.address}`,
    );
    const lost = server.record.serverId;
    attempt.stalledServer = lost;
    attempt.instance.send({ type: 'SERVER_SILENT', fault, lost }, now);
  }
  attempt.instance.send({ type: 'CHECKED' }, now);
};

const sendSilent = (attempt: GatewayAttempt, now: Milliseconds): void => {
  const fault = createBackendFault('the server was silent for too long');
  attempt.instance.send({ type: 'SILENT', fault }, now);
};
