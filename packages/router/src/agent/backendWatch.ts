/**
 * Watches a running attempt for work that its model engine leaves unanswered.
 *
 * The connection to an engine can fall silent, or the engine itself. Calls of
 * plain services are not watched: how long they may take is theirs to say.
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

/** What a watch knows of an attempt. */
export interface WatchContext {
  readonly work: WorkContext;
  readonly boundMs: Milliseconds;
  /** Answers of the engine at the last look. */
  seenAnswers: number;
  /** Spans that were unanswered at the last look. */
  wasWaiting: number;
}

export type WatchMachine = ChartMachine<WatchContext, WatchEvent>;
export type WatchInstance = ChartInstance<WatchContext, WatchEvent>;

/** Starts to watch an attempt. */
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
          `the engine left work unanswered for ${String(boundMs)} ms`,
          'check the engine and the link to it',
        );
        const { serverId } = work.services;
        work.instance?.send({ type: 'BACKEND_FAILED', error, serverId }, now);
      },
    },
    guards: { isSilent },
    delays: { SILENCE_BOUND: context => context.boundMs },
  });
