/** Counts the calls that reached servers, or went on there, after their callers had left. */
import type { DepartureRun } from './departureServer.js';
import type { EndedCaller } from './sendCalls.js';

/** Time after a caller's departure within which its call may still reach a server or go on there, in milliseconds. */
const graceMs = 500;

export interface DepartureCounts {
  readonly calls: number;
  readonly answers: number;
  readonly refused: number;
  readonly departures: number;
  readonly reached: number;
  /** Calls that reached a server after their callers had left, and the longest time after that. */
  readonly reachedAfter: number;
  readonly longestAfterMs: number;
  /** Those of them that did so after the grace period. */
  readonly reachedLate: number;
  /** Runs whose callers left early enough before their end. */
  readonly leftEarly: number;
  /** Those of them that went on after the grace period. */
  readonly wentOn: number;
}

export const countDepartures = (
  callers: readonly EndedCaller[],
  runs: readonly DepartureRun[],
): DepartureCounts => {
  const departures = new Map(
    callers.flatMap(({ id, leftAt }) =>
      leftAt === undefined ? [] : [[id, leftAt] as const],
    ),
  );
  const delays = runs.flatMap(({ id, arrivedAt }) => {
    const leftAt = departures.get(id);
    return leftAt !== undefined && arrivedAt > leftAt
      ? [arrivedAt - leftAt]
      : [];
  });
  const long = runs.filter(({ id, arrivedAt, dueAt }) => {
    const leftAt = departures.get(id) ?? Infinity;
    return arrivedAt <= leftAt + graceMs && dueAt > leftAt + graceMs;
  });
  const wentOn = long.filter(
    ({ id, cancelledAt = Infinity }) =>
      cancelledAt > (departures.get(id) ?? Infinity) + graceMs,
  );
  const countStatus = (wanted: number): number =>
    callers.filter(({ status }) => status === wanted).length;
  return {
    calls: callers.length,
    answers: countStatus(200),
    refused: countStatus(503),
    departures: departures.size,
    reached: runs.length,
    reachedAfter: delays.length,
    longestAfterMs: Math.max(0, ...delays),
    reachedLate: delays.filter(delay => delay > graceMs).length,
    leftEarly: long.length,
    wentOn: wentOn.length,
  };
};
