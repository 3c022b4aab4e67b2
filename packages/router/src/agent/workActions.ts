/** Actions of the state chart `agentWork`, under the names that the chart uses. */
import {
  ChartName,
  bindChart,
  type ChartAction,
  type ChartMachine,
} from '@lycheetally/charts';
import {
  ErrorKind,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import { computeTokenCost } from '@lycheetally/decisions';
import { MessageKind, type PeerMessage } from '@lycheetally/protocol';
import { entryDisconnectGraceMs, reserveTimeoutMs } from '../constants.js';
import { createBackendListener } from './backendRelay.js';
import {
  createNotStartedError,
  hasNextStage,
  type WorkContext,
  type WorkEvent,
} from './workContext.js';

type WorkAction = ChartAction<WorkContext, WorkEvent>;

export const sendAccepted: WorkAction = (work, _, now) => {
  work.services.events.record('work-accepted', now, work.ref);
  work.services.sendToOwner(work.ownerId, {
    kind: MessageKind.Accepted,
    value: work.ref,
  });
};

/** Queues the first stage for a slot; later stages follow the first and need none of their own. */
export const enqueueWork: WorkAction = (work, _, now) => {
  if (work.offer.stageIndex > 0) {
    work.instance?.send({ type: 'SLOT_GRANTED' }, now);
    return;
  }
  const { offer } = work;
  work.queueEntry = {
    rank: offer.rank,
    urgency: offer.urgency,
    account: offer.account,
    cost: offer.cost ?? offer.model?.maxTokens ?? 1,
    rankFloor: offer.rankFloor ?? 0,
    accountWeight: offer.accountWeight ?? 1,
    enqueuedAt: now,
    deadlineAt: work.deadlineAt,
    grantSlot: priority => {
      work.enginePriority = priority;
      work.services.postSlotGranted(work);
    },
  };
  work.services.slots.enqueue(work.queueEntry);
};

export const reserveNextStage: WorkAction = (work, _, now) => {
  const next = work.offer.stages[work.offer.stageIndex + 1];
  if (!next) {
    work.instance?.send({ type: 'RESERVED' }, now);
    return;
  }
  work.nextChannel = work.services.getNextStageChannel(next.agentAddress, now);
  work.nextChannel.send({
    kind: MessageKind.Offer,
    value: {
      ...work.offer,
      stageIndex: work.offer.stageIndex + 1,
      enginePriority: work.enginePriority,
      timeLeftMs: work.deadlineAt - now,
    },
  });
};

export const sendStarted: WorkAction = (work, _, now) => {
  work.services.events.record('work-started', now, {
    ...work.ref,
    detail: {
      rank: work.offer.rank,
      stage: work.offer.stageIndex,
      waitedMs: now - (work.queueEntry?.enqueuedAt ?? now),
    },
  });
  work.services.sendToOwner(work.ownerId, {
    kind: MessageKind.Started,
    value: work.ref,
  });
};

export const startBackend: WorkAction = (work, _, now) => {
  work.run = work.services.backend.startRun(
    { ...work.offer, enginePriority: work.enginePriority },
    createBackendListener(work),
  );
  if (work.offer.model) {
    // The first stage receives the prompt as its first span.
    work.sentSpans += work.offer.stageIndex === 0 ? 1 : 0;
    work.watch = work.services.startWatch(work, now);
  }
};

export const setError: WorkAction = (work, event) => {
  if (event && 'error' in event) {
    work.error = event.error;
    work.failedServerId = event.serverId;
  }
};

export const stopBackend: WorkAction = work => {
  work.run?.cancel();
  sendCancelToNextStage(work);
};

export const cancelNextStage: WorkAction = work => {
  sendCancelToNextStage(work);
};

const sendCancelToNextStage = (work: WorkContext): void => {
  if (hasNextStage(work)) {
    work.nextChannel?.send({ kind: MessageKind.Cancel, value: work.ref });
  }
};

/** Computes the cost of the tokens that the work has used, in token units. */
const computeActualCost = (work: WorkContext): number => {
  const estimated = work.queueEntry?.cost ?? 1;
  if (!work.offer.model) {
    return estimated;
  }
  const { promptTokens, generatedTokens } = work;
  return computeTokenCost(promptTokens, generatedTokens).unwrapOr(estimated);
};

export const releaseSlot: WorkAction = work => {
  if (work.queueEntry) {
    work.services.slots.release(work.queueEntry, computeActualCost(work));
  }
};

/** Records how the work ended, for an owner that asks for it again. */
const keepEnd = (
  work: WorkContext,
  kind: string,
  end: PeerMessage,
  now: Milliseconds,
  detail: Readonly<Record<string, string | number>> = {},
): void => {
  const { services, ref, keptTokens } = work;
  services.events.record(kind, now, { ...ref, detail });
  work.watch?.dispose();
  services.handleWorkEnded(work, { end, tokens: keptTokens }, now);
};

/** Reports to the owner how the work ended, and records it. */
const endWork: typeof keepEnd = (work, kind, end, now, detail) => {
  work.services.sendToOwner(work.ownerId, end);
  keepEnd(work, kind, end, now, detail);
};

const createFinished = (work: WorkContext): PeerMessage => ({
  kind: MessageKind.Finished,
  value: {
    ...work.ref,
    finishReason: work.finishReason,
    promptTokens: work.promptTokens,
    generatedTokens: work.generatedTokens,
    plain: work.answer,
  },
});

export const sendFinished: WorkAction = (work, _, now) => {
  if (work.offer.stageIndex === 0) {
    work.services.sendToOwner(work.ownerId, createFinished(work));
  }
  keepFinished(work, undefined, now);
};

/** Keeps the result for a disconnected entry, which asks for it after it reconnects. */
export const keepFinished: WorkAction = (work, _, now) => {
  work.run?.end();
  const tokens = work.generatedTokens;
  keepEnd(work, 'work-finished', createFinished(work), now, { tokens });
};

export const sendFailed: WorkAction = (work, _, now) => {
  const reason = work.error?.message ?? 'the work failed';
  const end: PeerMessage = {
    kind: MessageKind.Failed,
    value: {
      ...work.ref,
      kind: work.error?.kind ?? 'backend-failed',
      reason,
      serverId: work.failedServerId,
    },
  };
  endWork(work, 'work-failed', end, now, { reason });
};

export const sendRefused: WorkAction = (work, _, now) => {
  const error = work.error ?? createNotStartedError();
  const end: PeerMessage = {
    kind: MessageKind.Refused,
    value: {
      ...work.ref,
      kind: error.kind,
      reason: error.message,
      retryAfterMs: 0,
      serverId: work.failedServerId,
    },
  };
  endWork(work, 'work-not-run', end, now);
};

export const sendCancelled: WorkAction = (work, _, now) => {
  const end: PeerMessage = { kind: MessageKind.Cancelled, value: work.ref };
  endWork(work, 'work-cancelled', end, now);
};

/** Records that the next stage did not answer the reservation in time. */
export const setReserveTimeoutError: WorkAction = work => {
  const next = work.offer.stages[work.offer.stageIndex + 1];
  work.failedServerId = next?.serverId ?? work.failedServerId;
  work.error = new TypedError(
    ErrorKind.NoCapacity,
    'a later stage did not answer in time',
    'send the request again',
  );
};

/** Binds the chart `agentWork`. Fails with `BadChart`. */
export const bindWorkChart = (): Result<ChartMachine<WorkContext, WorkEvent>> =>
  bindChart<WorkContext, WorkEvent>(ChartName.AgentWork, {
    actions: {
      sendAccepted,
      enqueueWork,
      reserveNextStage,
      sendStarted,
      startBackend,
      setError,
      setReserveTimeoutError,
      stopBackend,
      cancelNextStage,
      releaseSlot,
      sendFinished,
      keepFinished,
      sendFailed,
      sendRefused,
      sendCancelled,
    },
    guards: {
      // A call that must not be repeated runs to its end once it has started.
      mayContinueWithoutOwner: work =>
        work.offer.plain !== undefined && !work.offer.repeatable,
      // Only an entry resumes its work; the owner of a later stage, an agent, does not.
      mayWaitForOwner: work => work.offer.stageIndex === 0,
    },
    delays: {
      DEADLINE: work => work.offer.timeLeftMs,
      OWNER_GRACE: () => entryDisconnectGraceMs,
      RESERVE_TIMEOUT: () => reserveTimeoutMs,
    },
  });
