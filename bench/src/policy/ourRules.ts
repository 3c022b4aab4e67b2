/** The rules that the processes run with. */
import {
  BoundedRetry,
  LeastOutstandingRouting,
  NoObserver,
  OpenAdmission,
  OpenQueueBound,
  UrgencyOrder,
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
  createOrder: <T extends WaitingWork>() => new UrgencyOrder<T>(),
  createBound: () => new OpenQueueBound(),
};
