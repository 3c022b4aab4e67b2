/** The rules that the processes run with. */
import {
  BoundedRetry,
  LeastOutstandingRouting,
  NoObserver,
  OpenAdmission,
  OpenQueueBound,
  RankedOrder,
  type RankRule,
  type WaitingWork,
} from '@lycheetally/decisions';
import type { PolicySet } from './policySet.js';

export const ourRules: PolicySet = {
  name: 'ours',
  createEntryRules: () => ({
    admission: new OpenAdmission(),
    routing: new LeastOutstandingRouting(),
    retry: new BoundedRetry(),
    observer: new NoObserver(),
  }),
  createOrder: <T extends WaitingWork>(ranks: readonly RankRule[]) =>
    new RankedOrder<T>({ listRanks: () => ranks, weightOf: () => 1 }),
  createBound: () => new OpenQueueBound(),
};
