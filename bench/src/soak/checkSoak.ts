/** Checks the calls and runs of a soak against the guarantees of a gateway. */
import { checkDeadlyCalls } from './checkDeadlyCalls.js';
import { checkLeaving } from './checkLeaving.js';
import { checkRefusal } from './checkRefusals.js';
import { checkResumes, checkStream } from './checkStreams.js';
import { checkCuts } from './stopCuts.js';
import { collectBy, listViolations } from './violations.js';
import {
  SoakKind,
  type GuaranteeViolation,
  type SoakCall,
  type SoakHistory,
  type SoakRun,
} from './types.js';

/** Statuses that guarantee that a call has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Time after its last byte within which a call may be lost to a connection that
 * closes; a gateway had no time to read such a call, in milliseconds.
 */
const crossingMs = 500;

export const checkSoak = (history: SoakHistory): GuaranteeViolation[] => {
  const calls = new Map(history.calls.map(call => [call.requestId, call]));
  const runs = collectBy(history.runs, ({ requestId }) => requestId);
  return [
    ...history.runs.flatMap(run =>
      checkRun(run, calls.get(run.requestId), history),
    ),
    ...history.calls.flatMap(call => {
      const callRuns = runs.get(call.requestId) ?? [];
      return [
        ...checkCall(call, callRuns),
        ...checkLeaving(call, callRuns, history),
        ...(history.isPlannedOnly ? checkPlanned(call, callRuns, history) : []),
        ...(history.refusesOnlyAtStops ? checkRefusal(call, history) : []),
      ];
    }),
    ...checkResumes(history.calls.filter(isSuccess)),
    ...(history.isPlannedOnly ? checkCuts(history) : []),
    ...checkDeadlyCalls(history),
  ];
};

const checkRun = (
  run: SoakRun,
  call: SoakCall | undefined,
  { accounts, revocationDeadlines }: SoakHistory,
): GuaranteeViolation[] => {
  const { requestId } = run;
  if (!call) {
    return [{ promise: 'a server runs only what a caller sent', requestId }];
  }
  const deadline = revocationDeadlines.get(call.key) ?? Infinity;
  return listViolations(requestId, {
    'a call reaches its server unchanged':
      run.kind === call.kind && run.body === call.body,
    'a server receives the account of the key':
      run.account === accounts.get(call.key),
    'a revoked key fails everywhere': call.sentAt <= deadline,
  });
};

const checkCall = (
  call: SoakCall,
  runs: readonly SoakRun[],
): GuaranteeViolation[] => {
  const isBooking = call.kind === SoakKind.Booking;
  const wasServed = isSuccess(call);
  const isStream = call.kind === SoakKind.Stream;
  const violations = listViolations(call.requestId, {
    'a booking runs once at most': !isBooking || runs.length <= 1,
    'a refused booking has not run':
      !isBooking || !notRunStatuses.has(call.status) || runs.length === 0,
    'a success is signed by its server': !wasServed || call.signature !== '',
    'a complete success is an answer of the server':
      !wasServed || !call.isComplete || isStream || matchesAnswer(call, runs),
  });
  return wasServed && isStream
    ? [...violations, ...checkStream(call, runs)]
    : violations;
};

const isSuccess = ({ status }: SoakCall): boolean =>
  status >= 200 && status < 300;

/** Checks a call that nothing but planned work disturbed. */
const checkPlanned = (
  call: SoakCall,
  runs: readonly SoakRun[],
  history: SoakHistory,
): GuaranteeViolation[] => {
  const isAnswered = isSuccess(call) && call.isComplete;
  const hasRun = runs.length > 0;
  return listViolations(call.requestId, {
    'planned work leaves a call that runs its whole answer':
      !hasRun || isAnswered || isCutAtGraceEnd(call, history),
    'planned work leaves no call without an answer':
      hasRun || isRefused(call) || isCrossing(call),
  });
};

/**
 * Whether the call is a stream that a gateway took while the load balancer could not
 * have noticed its stop, and that lasted until its grace period was nearly over. The
 * caller may resume it; other calls are never cut.
 */
const isCutAtGraceEnd = (
  { kind, port, sentAt, endedAt }: SoakCall,
  { stops, graceMs }: SoakHistory,
): boolean =>
  kind === SoakKind.Stream &&
  stops.some(
    stop =>
      stop.port === port &&
      sentAt - stop.at <= latestTakenMs &&
      endedAt - stop.at >= graceMs * minGraceShare &&
      endedAt - stop.at <= graceMs,
  );

/** Time after a stop signal until which a call may be taken that lasts too long, in milliseconds. */
const latestTakenMs = 3_000;

/** Share of the grace period before which no call may be cut. */
const minGraceShare = 5 / 6;

const isRefused = (call: SoakCall): boolean =>
  notRunStatuses.has(call.status) && call.isComplete;

/** Whether the connection closed before the gateway can have read the call. */
const isCrossing = ({ status, bodySentAt, endedAt }: SoakCall): boolean =>
  status === 0 &&
  (bodySentAt === undefined || endedAt - bodySentAt <= crossingMs);

/** Whether the call got the whole answer of one run, with the head of that run. */
const matchesAnswer = (
  { answer, signature }: SoakCall,
  runs: readonly SoakRun[],
): boolean =>
  runs.some(
    run =>
      run.isSuccess &&
      run.answer === answer &&
      (run.mark === signature || signature === ''),
  );
