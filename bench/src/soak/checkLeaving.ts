/** Checks that servers that leave get no calls from gateways that know it. */
import { listViolations } from './violations.js';
import {
  SoakKind,
  type GuaranteeViolation,
  type SoakCall,
  type SoakHistory,
  type SoakRun,
} from './types.js';

/** Time after which a server that leaves gets no calls, in milliseconds. */
export const leaveMs = 2_000;

export const checkLeaving = (
  call: SoakCall,
  runs: readonly SoakRun[],
  history: SoakHistory,
): GuaranteeViolation[] =>
  listViolations(call.requestId, {
    'a gateway that passed on that a server leaves sends it no calls':
      !runs.some(run => isSentAfterNotice(call, run, history)),
    'a server that left gets no calls after the faults':
      call.sentAt < history.recoveredAt ||
      runs.every(
        ({ serverId }) =>
          (history.leaveDeadlines.get(serverId) ?? Infinity) > call.sentAt,
      ),
  });

/** Whether the call's gateway had passed on an answer in which the server of the run said that it leaves, and runs since then. */
const isSentAfterNotice = (
  call: SoakCall,
  { serverId }: SoakRun,
  { calls, runs, resets }: SoakHistory,
): boolean => {
  const notices = calls.filter(
    each =>
      each.saidLeaving &&
      each.port === call.port &&
      call.sentAt - each.endedAt > leaveMs &&
      findAnswering(each, runs)?.serverId === serverId,
  );
  return notices.some(
    ({ endedAt, port }) =>
      !resets.some(
        reset =>
          reset.port === port && reset.at >= endedAt && reset.at <= call.sentAt,
      ),
  );
};

/** Returns the run whose answer the caller got; `undefined` if several servers may have sent it. */
const findAnswering = (
  call: SoakCall,
  runs: readonly SoakRun[],
): SoakRun | undefined => {
  const own = runs.filter(({ requestId }) => requestId === call.requestId);
  return own.length === 1
    ? own[0]
    : own.find(
        ({ answer }) => call.kind !== SoakKind.Stream && answer === call.answer,
      );
};
