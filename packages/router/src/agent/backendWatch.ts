/**
 * Detects a model engine that stops answering a running attempt.
 *
 * The engine may hang, or the connection to it may be dead. Calls of plain
 * services are not watched, since only the service knows how long a call may
 * take.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import {
  ErrorKind,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import type { WorkContext } from './workContext.js';

/** Events of the chart `backendWatch`. */
export interface WatchEvent {
  readonly type: 'STOP';
}

/** State of the watch on one attempt. */
export interface WatchContext {
  readonly work: WorkContext;
  readonly boundMs: Milliseconds;
  /** Number of answered spans at the previous check. */
  seenAnswers: number;
  /** Number of unanswered spans at the previous check. */
  wasWaiting: number;
}

export type WatchMachine = ChartMachine<WatchContext, WatchEvent>;
export type WatchInstance = ChartInstance<WatchContext, WatchEvent>;

/** Starts the watch on an attempt. */
export const startWatch = (
  machine: WatchMachine,
  timers: ChartTimers,
  work: WorkContext,
  boundMs: Milliseconds,
  now: Milliseconds,
): WatchInstance => {
  const context = { work, boundMs, seenAnswers: 0, wasWaiting: 0 };
  const instance = machine.createInstance(context, timers);
  instance.start(now);
  return instance;
};

const countWaiting = (work: WorkContext): number =>
  work.sentSpans - work.answeredSpans;

const isSilent = ({ work, seenAnswers, wasWaiting }: WatchContext): boolean =>
  wasWaiting > 0 && work.answeredSpans === seenAnswers;

/** Binds the chart `backendWatch`. Fails with `BadChart`. */
export const bindWatchChart = (): Result<WatchMachine> =>
  bindChart<WatchContext, WatchEvent>(ChartName.BackendWatch, {
    actions: {
      noteAnswers: context => {
        context.seenAnswers = context.work.answeredSpans;
        context.wasWaiting = countWaiting(context.work);
      },
      reportSilence: ({ work, boundMs }, _, now) => {
        const error = new TypedError(
          ErrorKind.BackendFailed,
          `the engine did not answer for ${String(boundMs)} ms`,
          'check the engine and the connection to it',
        );
        const { serverId } = work.services;
        work.instance?.send({ type: 'BACKEND_FAILED', error, serverId }, now);
      },
    },
    guards: { isSilent },
    delays: { SILENCE_BOUND: context => context.boundMs },
  });
