/** Actions, guards and delays of the charts `partPush` and `partPull`. */
import { ChartName, bindChart, type ChartMachine } from '@lycheetally/charts';
import { getOrThrow, type Result } from '@lycheetally/common';
import {
  partCompareIntervalMs,
  partJoinRetryMs,
  partPushIntervalMs,
} from './exchangeConstants.js';
import type { PartExchange, PartMachines } from './partExchange.js';
import { bindPartPeerChart } from './partPeer.js';

export interface PartPushEvent {
  readonly type: 'CHANGED';
}

export interface PartPullEvent {
  readonly type: 'ANSWERED' | 'CHANGED';
}

export type PartPushMachine = ChartMachine<PartExchange, PartPushEvent>;
export type PartPullMachine = ChartMachine<PartExchange, PartPullEvent>;

/** Binds the charts of an exchange. Throws if one is invalid. */
export const bindPartCharts = (): PartMachines => ({
  push: getOrThrow(bindPushChart()),
  pull: getOrThrow(bindPullChart()),
  peer: getOrThrow(bindPartPeerChart()),
});

const bindPushChart = (): Result<PartPushMachine> =>
  bindChart<PartExchange, PartPushEvent>(ChartName.PartPush, {
    actions: {
      pushChanges: (exchange, _, now) => {
        exchange.chartActions.pushChanges(now);
      },
    },
    guards: {
      hasUnsent: (exchange, _, now) => exchange.chartActions.hasUnsent(now),
    },
    delays: { PUSH_INTERVAL: () => partPushIntervalMs },
  });

const bindPullChart = (): Result<PartPullMachine> =>
  bindChart<PartExchange, PartPullEvent>(ChartName.PartPull, {
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
      JOIN_RETRY_DELAY: () => partJoinRetryMs,
      COMPARE_INTERVAL: () => partCompareIntervalMs,
    },
  });
