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
  readonly timeoutMs: Milliseconds;
  /** Number of answered spans at the previous check. */
  previousAnswered: number;
  /** Number of unanswered spans at the previous check. */
  previousUnanswered: number;
}

export type WatchMachine = ChartMachine<WatchContext, WatchEvent>;
export type WatchInstance = ChartInstance<WatchContext, WatchEvent>;

/** Starts the watch on an attempt. */
export const startWatch = (
  machine: WatchMachine,
  timers: ChartTimers,
  work: WorkContext,
  timeoutMs: Milliseconds,
  now: Milliseconds,
): WatchInstance => {
  const context = {
    work,
    timeoutMs,
    previousAnswered: 0,
    previousUnanswered: 0,
  };
  const instance = machine.createInstance(context, timers);
  instance.start(now);
  return instance;
};

const countUnanswered = (work: WorkContext): number =>
  work.sentSpans - work.answeredSpans;

const isSilent = ({
  work,
  previousAnswered,
  previousUnanswered,
}: WatchContext): boolean =>
  previousUnanswered > 0 && work.answeredSpans === previousAnswered;

/** Binds the chart `backendWatch`. Fails with `BadChart`. */
export const bindWatchChart = (): Result<WatchMachine> =>
  bindChart<WatchContext, WatchEvent>(ChartName.BackendWatch, {
    actions: {
      updateProgress: context => {
        context.previousAnswered = context.work.answeredSpans;
        context.previousUnanswered = countUnanswered(context.work);
      },
      reportSilence: ({ work, timeoutMs }, _, now) => {
        const error = new TypedError(
          ErrorKind.BackendFailed,
          `the engine did not answer for ${String(timeoutMs)} ms`,
          'check the engine and the connection to it',
        );
        const { serverId } = work.services;
        work.instance?.send({ type: 'BACKEND_FAILED', error, serverId }, now);
      },
    },
    guards: { isSilent },
    delays: { SILENCE_TIMEOUT: context => context.timeoutMs },
  });
