/** Counts what calls that kill their servers do to a service, and checks it. */
import { listViolations } from './violations.js';
import {
  isDeadly,
  type CrashRecord,
  type GuaranteeViolation,
  type ServerOutage,
  type SoakCall,
  type SoakHistory,
} from './types.js';

/** Time after which connected gateways know of a crash, in milliseconds. */
const contactMs = 2_000;

/** Runs of a deadly call that may begin later than that after its third crash. */
const maxLateRuns = 3;

/** Share of the sound calls that the service may lose. */
const maxLostShare = 0.05;

export interface CrashCounts {
  readonly deadlyCalls: number;
  readonly runs: number;
  readonly crashes: number;
  /** Runs that a gateway sent later than `contactMs` after the third crash. */
  readonly lateRuns: number;
  readonly soundCalls: number;
  readonly lostCalls: number;
  /** Longest time without a living server, in milliseconds. */
  readonly darkMs: number;
}

type DisturbedHistory = Pick<SoakHistory, 'calls' | 'resets'>;

/** Counts what gateways did that were neither killed, stopped nor frozen until then. */
export const countCrashes = (
  record: CrashRecord,
  history: DisturbedHistory,
): CrashCounts => {
  const { deadlyRuns, outages } = record;
  const times = outages.map(({ at }) => at).sort((a, b) => a - b);
  const knownAt = (times[2] ?? Infinity) + contactMs;
  const undisturbed = history.calls.filter(call => !isDisturbed(call, history));
  const endedAt = Math.max(...history.calls.map(call => call.endedAt));
  const ids = new Set(undisturbed.map(({ requestId }) => requestId));
  const sound = undisturbed.filter(call => !isDeadly(call));
  return {
    deadlyCalls: history.calls.filter(isDeadly).length,
    runs: deadlyRuns.length,
    crashes: outages.length,
    lateRuns: deadlyRuns.filter(
      ({ run, at }) => at > knownAt && ids.has(run.requestId),
    ).length,
    soundCalls: sound.length,
    lostCalls: sound.filter(({ status, isComplete }) => {
      return status !== 200 || !isComplete;
    }).length,
    darkMs: computeDarkMs(record, endedAt),
  };
};

export const checkDeadlyCalls = (
  history: SoakHistory,
): GuaranteeViolation[] => {
  const { crashes } = history;
  if (!crashes) {
    return [];
  }
  const { lateRuns, lostCalls, soundCalls, darkMs } = countCrashes(
    crashes,
    history,
  );
  return listViolations('', {
    'a call that crashed three servers is retried three times at most':
      lateRuns <= maxLateRuns,
    'sound calls are served beside a deadly call':
      lostCalls <= maxLostShare * soundCalls,
    'a deadly call leaves a server alive': darkMs === 0,
  });
};

const isDisturbed = (
  { port, endedAt }: SoakCall,
  { resets }: DisturbedHistory,
): boolean => resets.some(each => each.port === port && each.at <= endedAt);

const computeDarkMs = (
  { outages, serverCount }: CrashRecord,
  endedAt: number,
): number => {
  const times = outages.map(({ at }) => {
    const down = outages.filter(each => isDownAt(each, at));
    const backAt = Math.min(endedAt, ...down.map(each => each.backAt));
    return down.length === serverCount ? backAt - at : 0;
  });
  return Math.max(0, ...times);
};

const isDownAt = (outage: ServerOutage, at: number): boolean =>
  outage.at <= at && outage.backAt > at;
