/** The actions of the chart `agentWork`, each under the name that the chart uses. */
import {
  ChartMachine,
  ChartName,
  loadChart,
  type ChartAction,
} from '@lycheetally/charts';
import type { Result } from '@lycheetally/common';
import { MessageKind } from '@lycheetally/protocol';
import { reserveTimeoutMs } from '../constants.js';
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

/** Only the first stage waits for a place; later stages follow it. */
export const enqueueWork: WorkAction = (work, _, now) => {
  if (work.offer.stageIndex > 0) {
    work.instance?.send({ type: 'SLOT' }, now);
    return;
  }
  const { offer } = work;
  work.queued = {
    rank: offer.rank,
    urgency: offer.urgency,
    account: offer.account,
    cost: offer.model?.maxTokens ?? 1,
    enqueuedAt: now,
    deadlineAt: work.deadlineAt,
    grantSlot: () => {
      work.services.postSlotGranted(work);
    },
  };
  work.services.slots.enqueue(work.queued);
};

export const reserveNext: WorkAction = (work, _, now) => {
  const next = work.offer.stages[work.offer.stageIndex + 1];
  if (!next) {
    work.instance?.send({ type: 'RESERVED' }, now);
    return;
  }
  work.next = work.services.getNextChannel(next.agentAddress, now);
  work.next.send({
    kind: MessageKind.Offer,
    value: {
      ...work.offer,
      stageIndex: work.offer.stageIndex + 1,
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
      waitedMs: now - (work.queued?.enqueuedAt ?? now),
    },
  });
  work.services.sendToOwner(work.ownerId, {
    kind: MessageKind.Started,
    value: work.ref,
  });
};

export const startBackend: WorkAction = work => {
  work.run = work.services.backend.startRun(
    work.offer,
    createBackendListener(work),
  );
};

export const noteReason: WorkAction = (work, event) => {
  if (event && 'error' in event) {
    work.error = event.error;
    work.failedServerId = event.serverId;
  }
};

export const stopBackend: WorkAction = work => {
  work.run?.cancel();
  sendCancelToNext(work);
};

export const cancelNext: WorkAction = work => {
  sendCancelToNext(work);
};

const sendCancelToNext = (work: WorkContext): void => {
  if (hasNextStage(work)) {
    work.next?.send({ kind: MessageKind.Cancel, value: work.ref });
  }
};

export const releaseSlot: WorkAction = work => {
  if (work.queued) {
    work.services.slots.release(work.queued);
  }
};

export const sendFinished: WorkAction = (work, _, now) => {
  work.run?.end();
  work.services.events.record('work-finished', now, {
    ...work.ref,
    detail: { tokens: work.generatedTokens },
  });
  if (work.offer.stageIndex === 0) {
    work.services.sendToOwner(work.ownerId, {
      kind: MessageKind.Finished,
      value: {
        ...work.ref,
        finishReason: work.finishReason,
        promptTokens: work.promptTokens,
        generatedTokens: work.generatedTokens,
        plain: work.answer,
      },
    });
  }
  work.services.handleWorkEnded(work, now);
};

export const sendFailed: WorkAction = (work, _, now) => {
  const reason = work.error?.message ?? 'the work failed';
  work.services.events.record('work-failed', now, {
    ...work.ref,
    detail: { reason },
  });
  work.services.sendToOwner(work.ownerId, {
    kind: MessageKind.Failed,
    value: {
      ...work.ref,
      kind: work.error?.kind ?? 'backend-failed',
      reason,
      serverId: work.failedServerId,
    },
  });
  work.services.handleWorkEnded(work, now);
};

export const sendRefused: WorkAction = (work, _, now) => {
  const error = work.error ?? createNotStartedError();
  work.services.events.record('work-not-run', now, work.ref);
  work.services.sendToOwner(work.ownerId, {
    kind: MessageKind.Refused,
    value: {
      ...work.ref,
      kind: error.kind,
      reason: error.message,
      retryAfterMs: 0,
    },
  });
  work.services.handleWorkEnded(work, now);
};

export const sendCancelled: WorkAction = (work, _, now) => {
  work.services.events.record('work-cancelled', now, work.ref);
  work.services.sendToOwner(work.ownerId, {
    kind: MessageKind.Cancelled,
    value: work.ref,
  });
  work.services.handleWorkEnded(work, now);
};

/** Binds the chart `agentWork`. Fails with `BadChart`. */
export const bindWorkChart = (): Result<ChartMachine<WorkContext, WorkEvent>> =>
  loadChart(ChartName.AgentWork).andThen(chart =>
    ChartMachine.bind<WorkContext, WorkEvent>(chart, {
      actions: {
        sendAccepted,
        enqueueWork,
        reserveNext,
        sendStarted,
        startBackend,
        noteReason,
        stopBackend,
        cancelNext,
        releaseSlot,
        sendFinished,
        sendFailed,
        sendRefused,
        sendCancelled,
      },
      guards: {
        // A call that must not be repeated runs to its end once it has begun.
        mayOutliveOwner: work =>
          work.offer.plain !== undefined && !work.offer.repeatable,
      },
      delays: {
        DEADLINE: work => work.offer.timeLeftMs,
        RESERVE_TIMEOUT: () => reserveTimeoutMs,
      },
    }),
  );
