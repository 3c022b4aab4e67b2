/** Sets of policies that a simulation run can use: the interface, and the baselines. */
import {
  BoundedRetry,
  FifoOrder,
  LeastOutstandingRouting,
  NoopLoadObserver,
  BasicAdmission,
  UnlimitedQueueBound,
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
export interface EntryPolicies {
  readonly admission: AdmissionPolicy;
  readonly routing: RoutingPolicy;
  readonly retry: RetryPolicy;
  readonly observer: LoadObserver;
}

export interface PolicySet {
  readonly name: string;
  createEntryPolicies(seed: number): EntryPolicies;
  createWorkOrder<T extends WaitingWork>(
    ranks: readonly RankRule[],
    slots: number,
  ): WorkOrder<T>;
  createQueueBound(ranks: readonly RankRule[]): QueueBound;
}

/** Round-robin routing with first-come-first-served queues. */
export const fifoRoundRobin: PolicySet = {
  name: 'fifo-round-robin',
  createEntryPolicies: () => ({
    admission: new BasicAdmission(),
    routing: new RoundRobinRouting(),
    retry: new BoundedRetry(),
    observer: new NoopLoadObserver(),
  }),
  createWorkOrder: <T extends WaitingWork>() => new FifoOrder<T>(),
  createQueueBound: () => new UnlimitedQueueBound(),
};

/** Least-outstanding routing with queues ordered by urgency alone. */
export const leastOutstanding: PolicySet = {
  name: 'least-outstanding',
  createEntryPolicies: () => ({
    admission: new BasicAdmission(),
    routing: new LeastOutstandingRouting(),
    retry: new BoundedRetry(),
    observer: new NoopLoadObserver(),
  }),
  createWorkOrder: <T extends WaitingWork>() => new UrgencyOrder<T>(),
  createQueueBound: () => new UnlimitedQueueBound(),
};
