/**
 * Finds out why an attempt is silent, by the report of its first server.
 *
 * A server that answers has stalled this attempt alone, or names the server at which its
 * chain stalled. One that doesn't answer is silent, which may be a pause. Either way the
 * attempt moves only if another server can take it.
 */
import type { Milliseconds, Result } from '@lycheetally/common';
import { createBackendFault } from './attemptFaults.js';
import { maxPartialEventMs, reportTimeoutMs } from '../constants.js';
import type { GatewayAttempt } from './gatewayAttempt.js';
import { ConnectionUse, type ServerReport } from '../ports.js';
import { ProbeResult, toProbeResult } from '../servers/serverCheck.js';

/** Checks the attempt; it receives `CHECKED` or `NO_REPORT`, or fails at once. */
export const checkStall = (attempt: GatewayAttempt): void => {
  const { services } = attempt.call;
  const now = services.getMoment().monotonic;
  const { first } = attempt.chosen;
  if (first.isSilent) {
    sendNoReport(attempt, now);
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
      if (toProbeResult(result) === ProbeResult.Answered) {
        first.noteAnswer(now, receivedAt);
      }
      receiveReport(attempt, result, receivedAt);
    });
  });
};

/** Whether the server sends an event in pieces that are too far apart to be sound; a pause between them doesn't count. */
const hasOverdueEvent = (
  { answer, admitted, chosen }: GatewayAttempt,
  now: Milliseconds,
): boolean => {
  const since = answer.events?.partialSince;
  return (
    admitted.isRepeatable &&
    since !== undefined &&
    now - Math.max(since, chosen.first.returnedAt) >= maxPartialEventMs
  );
};

const receiveReport = (
  attempt: GatewayAttempt,
  report: Result<ServerReport>,
  now: Milliseconds,
): void => {
  const { call, chosen } = attempt;
  const { lossHandler } = call.services;
  switch (toProbeResult(report)) {
    case ProbeResult.Refused:
      lossHandler.noteRefused(chosen.first, 'it refuses connections', now);
      attempt.endLost(now);
      return;
    case ProbeResult.Unanswered:
      lossHandler.noteSilent(chosen.first, 'it sends no report', now);
      sendNoReport(attempt, now);
      return;
    case ProbeResult.Reset:
      receiveReset(attempt, now);
      return;
    case ProbeResult.Answered:
      receiveAnswer(attempt, report, now);
  }
};

/** Handles a reset, as at a limit of connections: the server is there, and stalls a plain call as one that answers does. */
const receiveReset = (attempt: GatewayAttempt, now: Milliseconds): void => {
  if (attempt.chosen.chain.length === 0) {
    attempt.endStalled(now);
  } else {
    attempt.instance.send({ type: 'CHECKED' }, now);
  }
};

/** Handles the report of a server that lives, or an answer that is none. */
const receiveAnswer = (
  attempt: GatewayAttempt,
  report: Result<ServerReport>,
  now: Milliseconds,
): void => {
  const { call, chosen } = attempt;
  const { lossHandler, serverRegistry } = call.services;
  if (hasOverdueEvent(attempt, now)) {
    attempt.answer.fail('the server began an event and did not end it');
    return;
  }
  if (chosen.chain.length === 0) {
    attempt.endStalled(now);
    return;
  }
  const stalled = report.ok
    ? report.val.stalled.find(({ requestId }) => requestId === call.requestId)
    : undefined;
  const server = serverRegistry.findByAddress(stalled?.address ?? '');
  if (server) {
    lossHandler.noteSilent(server, 'a chain stalled there', now);
    const fault = createBackendFault(
      `the chain stalled at ${server.record.address}`,
    );
    const lost = server.record.serverId;
    attempt.silence.stalledServer = lost;
    attempt.instance.send({ type: 'SERVER_SILENT', fault, lost }, now);
  }
  attempt.instance.send({ type: 'CHECKED' }, now);
};

const sendNoReport = (attempt: GatewayAttempt, now: Milliseconds): void => {
  const fault = createBackendFault('the server was silent for too long');
  attempt.instance.send({ type: 'NO_REPORT', fault }, now);
};
