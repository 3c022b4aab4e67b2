/** The rules that the processes run with. */
import {
  BoundedRetry,
  LinkTable,
  LoadBook,
  PredictiveRouting,
  OpenAdmission,
  OpenQueueBound,
  RankedOrder,
  type RankRule,
  type WaitingWork,
} from '@lycheetally/decisions';
import { benchLinks } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';

export const ourRules: PolicySet = {
  name: 'ours',
  createEntryRules: seed => {
    const book = new LoadBook();
    return {
      admission: new OpenAdmission(),
      routing: new PredictiveRouting({
        book,
        links: new LinkTable(benchLinks),
        seed,
        candidates: 6,
        planIntervalMs: 2_000,
      }),
      retry: new BoundedRetry(),
      observer: book,
    };
  },
  createOrder: <T extends WaitingWork>(ranks: readonly RankRule[]) =>
    new RankedOrder<T>({ listRanks: () => ranks, weightOf: () => 1 }),
  createBound: () => new OpenQueueBound(),
};
