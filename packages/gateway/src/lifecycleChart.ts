/** Binds the chart `lifecycle` to a gateway: starting, ready, draining, stopped. */
import { ChartName, bindChart, type ChartMachine } from '@lycheetally/charts';
import type { Milliseconds, Result } from '@lycheetally/common';

export interface LifecycleEvent {
  readonly type: 'READY' | 'STOP' | 'DRAINED';
}

/** Actions and delays of the chart. */
export interface LifecycleActions {
  recordReady(): void;
  recordDraining(): void;
  /** Begins the drain: from now on calls are taken only if they end in time. */
  stopAdmission(now: Milliseconds): void;
  reportForcedStop(): void;
  /** Cancels the calls that get an answer for it; streams that have begun go on. */
  cancelOpenWork(now: Milliseconds): void;
  /** Cuts what is still open, lets the last answers reach their callers, then ends the process. */
  finishProcess(now: Milliseconds): void;
  computeDrainTimeout(now: Milliseconds): Milliseconds;
  computeLastStreamsTime(now: Milliseconds): Milliseconds;
}

/** Context of the chart. */
interface LifecycleOwner {
  readonly lifecycleActions: LifecycleActions;
}

/** Fails with `BadChart`. */
export const bindLifecycleChart = <T extends LifecycleOwner>(): Result<
  ChartMachine<T, LifecycleEvent>
> =>
  bindChart<T, LifecycleEvent>(ChartName.Lifecycle, {
    actions: {
      recordReady: ({ lifecycleActions }) => {
        lifecycleActions.recordReady();
      },
      recordDraining: ({ lifecycleActions }) => {
        lifecycleActions.recordDraining();
      },
      stopAdmission: ({ lifecycleActions }, _, now) => {
        lifecycleActions.stopAdmission(now);
      },
      reportForcedStop: ({ lifecycleActions }) => {
        lifecycleActions.reportForcedStop();
      },
      cancelOpenWork: ({ lifecycleActions }, _, now) => {
        lifecycleActions.cancelOpenWork(now);
      },
      finishProcess: ({ lifecycleActions }, _, now) => {
        lifecycleActions.finishProcess(now);
      },
    },
    guards: {},
    delays: {
      DRAIN_TIMEOUT: ({ lifecycleActions }, now) =>
        lifecycleActions.computeDrainTimeout(now),
      FORCED_STOP_TIMEOUT: ({ lifecycleActions }, now) =>
        lifecycleActions.computeLastStreamsTime(now),
    },
  });
