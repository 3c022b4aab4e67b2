/** The policies that the processes run with. */
import {
  BudgetedRetry,
  DelayQueueBound,
  LimitedAdmission,
  LinkTable,
  LoadBook,
  PredictiveRouting,
  RankedOrder,
  TargetGate,
  type RankRule,
  type WaitingWork,
} from '@lycheetally/decisions';
import { benchLinks } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';

export const ourPolicies: PolicySet = {
  name: 'ours',
  createEntryPolicies: seed => {
    const book = new LoadBook();
    return {
      admission: new LimitedAdmission(),
      routing: new PredictiveRouting({
        book,
        links: new LinkTable(benchLinks),
        gate: new TargetGate(),
        seed,
        candidates: 6,
        planIntervalMs: 2_000,
      }),
      retry: new BudgetedRetry(),
      observer: book,
    };
  },
  createWorkOrder: <T extends WaitingWork>(
    ranks: readonly RankRule[],
    slots: number,
  ) => new RankedOrder<T>({ listRanks: () => ranks, weightOf: () => 1, slots }),
  createQueueBound: ranks =>
    new DelayQueueBound({
      maxWaitMs: ranks.map(rank => rank.targetMs),
      maxWaiting: 2_000,
    }),
};
