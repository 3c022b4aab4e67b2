/** The policies that the processes run with. */
import {
  BudgetedRetry,
  DelayQueueBound,
  RateLimitedAdmission,
  LinkTable,
  LoadTracker,
  PredictiveRouting,
  RankedOrder,
  LatencyTargetPolicy,
  type RankRule,
  type WaitingWork,
} from '@lycheetally/decisions';
import { benchLinks } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';

export const ourPolicies: PolicySet = {
  name: 'ours',
  createEntryPolicies: seed => {
    const loadTracker = new LoadTracker();
    return {
      admission: new RateLimitedAdmission(),
      routing: new PredictiveRouting({
        loadTracker,
        links: new LinkTable(benchLinks),
        overloadPolicy: new LatencyTargetPolicy(),
        seed,
        candidates: 6,
        planIntervalMs: 2_000,
      }),
      retry: new BudgetedRetry(),
      observer: loadTracker,
    };
  },
  createWorkOrder: <T extends WaitingWork>(
    ranks: readonly RankRule[],
    slots: number,
  ) =>
    new RankedOrder<T>({ listRanks: () => ranks, getWeight: () => 1, slots }),
  createQueueBound: ranks =>
    new DelayQueueBound({
      maxWaitMs: ranks.map(rank => rank.targetMs),
      maxWaiting: 2_000,
    }),
};
