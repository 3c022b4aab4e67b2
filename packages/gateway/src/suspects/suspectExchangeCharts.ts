/** Actions, guards and delays of the charts `suspectPush` and `suspectPull`. */
import { ChartName, bindChart, type ChartMachine } from '@lycheetally/charts';
import { getOrThrow, type Result } from '@lycheetally/common';
import {
  suspectCompareIntervalMs,
  suspectJoinRetryMs,
  suspectPushIntervalMs,
} from './exchangeConstants.js';
import type { SuspectExchange, SuspectMachines } from './suspectExchange.js';
import { bindLearningChart } from './suspectLearning.js';
import { bindSuspectPeerChart } from './suspectPeer.js';

export interface SuspectPushEvent {
  readonly type: 'CHANGED';
}

export interface SuspectPullEvent {
  readonly type: 'ANSWERED' | 'CHANGED' | 'PEERS_READ';
}

export type SuspectPushMachine = ChartMachine<
  SuspectExchange,
  SuspectPushEvent
>;
export type SuspectPullMachine = ChartMachine<
  SuspectExchange,
  SuspectPullEvent
>;

/** Binds the charts of an exchange. Throws if one is invalid. */
export const bindSuspectCharts = (): SuspectMachines => ({
  push: getOrThrow(bindPushChart()),
  pull: getOrThrow(bindPullChart()),
  peer: getOrThrow(bindSuspectPeerChart()),
  learning: getOrThrow(bindLearningChart()),
});

const bindPushChart = (): Result<SuspectPushMachine> =>
  bindChart<SuspectExchange, SuspectPushEvent>(ChartName.SuspectPush, {
    actions: {
      pushChanges: (exchange, _, now) => {
        exchange.chartActions.pushChanges(now);
      },
    },
    guards: {
      hasUnsent: (exchange, _, now) => exchange.chartActions.hasUnsent(now),
    },
    delays: { PUSH_INTERVAL: () => suspectPushIntervalMs },
  });

const bindPullChart = (): Result<SuspectPullMachine> =>
  bindChart<SuspectExchange, SuspectPullEvent>(ChartName.SuspectPull, {
    actions: {
      requestAtStart: (exchange, _, now) => {
        exchange.chartActions.requestAtStart(now);
      },
      requestComparison: (exchange, _, now) => {
        exchange.chartActions.requestComparison(now);
      },
    },
    guards: {
      mayHaveMissed: (exchange, _, now) =>
        exchange.chartActions.mayHaveMissed(now),
    },
    delays: {
      JOIN_RETRY_DELAY: () => suspectJoinRetryMs,
      COMPARE_INTERVAL: () => suspectCompareIntervalMs,
    },
  });
