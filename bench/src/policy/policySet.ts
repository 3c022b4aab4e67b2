/** Sets of policies that a simulation run can use: the interface, and the baselines. */
import {
  BoundedRetry,
  FifoOrder,
  LeastOutstandingRouting,
  NoObserver,
  OpenAdmission,
  OpenQueueBound,
  RoundRobinRouting,
  UrgencyOrder,
  type AdmissionPolicy,
  type LoadObserver,
  type QueueBound,
  type RankRule,
  type RetryPolicy,
  type RoutingPolicy,
  type WaitingWork,
  type WorkOrder,
} from '@lycheetally/decisions';

/** Policies of one entry; they share the load estimates of its observer. */
export interface EntryRules {
  readonly admission: AdmissionPolicy;
  readonly routing: RoutingPolicy;
  readonly retry: RetryPolicy;
  readonly observer: LoadObserver;
}

export interface PolicySet {
  readonly name: string;
  createEntryRules(seed: number): EntryRules;
  createOrder<T extends WaitingWork>(
    ranks: readonly RankRule[],
    slots: number,
  ): WorkOrder<T>;
  createBound(ranks: readonly RankRule[]): QueueBound;
}

/** Round-robin routing with first-come-first-served queues. */
export const fifoRoundRobin: PolicySet = {
  name: 'fifo-round-robin',
  createEntryRules: () => ({
    admission: new OpenAdmission(),
    routing: new RoundRobinRouting(),
    retry: new BoundedRetry(),
    observer: new NoObserver(),
  }),
  createOrder: <T extends WaitingWork>() => new FifoOrder<T>(),
  createBound: () => new OpenQueueBound(),
};

/** Least-outstanding routing with queues ordered by urgency alone. */
export const leastOutstanding: PolicySet = {
  name: 'least-outstanding',
  createEntryRules: () => ({
    admission: new OpenAdmission(),
    routing: new LeastOutstandingRouting(),
    retry: new BoundedRetry(),
    observer: new NoObserver(),
  }),
  createOrder: <T extends WaitingWork>() => new UrgencyOrder<T>(),
  createBound: () => new OpenQueueBound(),
};
