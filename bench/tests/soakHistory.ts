/** A short history of a soak, which tests change, and what the check finds in it. */
import {
  SoakKind,
  checkSoak,
  formatSoakEvent,
  type SoakCall,
  type SoakHistory,
  type SoakRun,
} from '../src/index.js';

const steps = 20;

export const call: SoakCall = {
  requestId: 'r-1',
  kind: SoakKind.Booking,
  key: 'key-1',
  port: 1,
  body: 'body',
  steps,
  sentAt: 100,
  bodySentAt: 101,
  endedAt: 300,
  status: 200,
  answer: 'answer',
  isComplete: true,
  signature: 'i-1.1',
  streamId: 'r-1',
  afterEvent: 0,
  saidLeaving: false,
};

export const run: SoakRun = {
  requestId: 'r-1',
  serverId: 'i-1',
  mark: 'i-1.1',
  kind: SoakKind.Booking,
  body: 'body',
  account: 'account-1',
  answer: 'answer',
  isSuccess: true,
};

export const createHistory = (
  calls: readonly SoakCall[],
  runs: readonly SoakRun[],
  changes: Partial<SoakHistory>,
): SoakHistory => ({
  calls,
  runs,
  accounts: new Map([['key-1', 'account-1']]),
  revocationDeadlines: new Map(),
  isPlannedOnly: false,
  refusesOnlyAtStops: false,
  stops: [],
  resets: [],
  leaveDeadlines: new Map(),
  recoveredAt: Infinity,
  graceMs: 6_000,
  ...changes,
});

export const findViolations = (
  calls: readonly SoakCall[],
  runs: readonly SoakRun[],
  changes: Partial<SoakHistory> = {},
): string[] =>
  checkSoak(createHistory(calls, runs, changes)).map(({ promise }) => promise);

export const formatEvents = (
  numbers: readonly number[],
  mark = run.mark,
): string => numbers.map(at => formatSoakEvent('r-1', at, mark)).join('');

export const allEvents = Array.from({ length: steps }, (_, at) => at + 1);
