/**
 * Membership of this gateway in the group that elects the leader; context of the
 * chart `groupMember`.
 *
 * The store may carry out a join whose answer is lost. Such a member stays in the
 * group and keeps the partition that it is assigned, so that nobody leads for as long
 * as it goes on joining. A member whose joins fail therefore leaves the group, and
 * joins again only once the store has answered a leave, which is harmless to repeat.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type {
  ComponentLogger,
  Disposable,
  Milliseconds,
  Result,
} from '@lycheetally/common';
import {
  leaderLeaseMs,
  leaseRenewIntervalMs,
  storeTimeoutMs,
} from '../constants.js';
import type { LeaderElectionPort, LeaderGrant } from '../ports.js';
import {
  leaseHandoverMs,
  leaseRetryDelayMs,
  maxFailedJoins,
  maxFastLeaves,
  maxFastRetries,
} from './constants.js';

export interface MemberEvent {
  readonly type: 'JOINED' | 'UNANSWERED' | 'LEFT' | 'GRANT_ENDED' | 'RESIGN';
}

export type MemberMachine = ChartMachine<GroupMember, MemberEvent>;

/** Services that the membership uses. */
export interface MemberServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly leaderElection: LeaderElectionPort;
  postCompletion(run: (now: Milliseconds) => void): void;
  /** Sets this gateway's share of its group, from 0 to 1. */
  setShare(share: number, now: Milliseconds): void;
}

export class GroupMember {
  fencingToken = 0;
  private leaseExpiresAt: Milliseconds = -Infinity;
  private failures = 0;
  /** Leaves that the store answered since its last answer to a join. */
  private leaves = 0;
  /** Number of grants that ended; a join that was sent before such an end grants nothing. */
  private endedGrants = 0;
  private lastRequest: Promise<void> = Promise.resolve();
  private readonly subscription: Disposable;
  private readonly chart: ChartInstance<GroupMember, MemberEvent>;

  constructor(
    machine: MemberMachine,
    private readonly services: MemberServices,
    /** Called with whether this gateway leads whenever the store has said so, or the grant has ended. */
    private readonly handleGrant: (
      isLeader: boolean,
      now: Milliseconds,
    ) => void,
  ) {
    this.chart = machine.createInstance(this, services.timers);
    this.subscription = services.leaderElection.grantEnded.subscribe(() => {
      services.postCompletion(now => {
        this.chart.send({ type: 'GRANT_ENDED' }, now);
      });
    });
  }

  hasLease(now: Milliseconds): boolean {
    return now < this.leaseExpiresAt;
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  resign(now: Milliseconds): void {
    this.chart.send({ type: 'RESIGN' }, now);
  }

  dispose(): void {
    this.subscription.dispose();
    this.chart.dispose();
  }

  readonly chartActions = {
    requestJoin: (now: Milliseconds): void => {
      const { services, endedGrants } = this;
      this.lastRequest = services.leaderElection
        .join(leaderLeaseMs)
        .then(result => {
          services.postCompletion(receivedAt => {
            if (result.err || endedGrants !== this.endedGrants) {
              this.noteFailedJoin(result, receivedAt);
            } else {
              this.receiveGrant(result.val, now, receivedAt);
            }
          });
        });
    },
    requestLeave: (): void => {
      const { services } = this;
      // A join that arrives after the leave would join the group again.
      this.lastRequest = this.lastRequest
        .then(() => services.leaderElection.leave())
        .then(result => {
          services.postCompletion(now => {
            this.receiveLeave(result, now);
          });
        });
    },
    endGrant: (now: Milliseconds): void => {
      this.endedGrants += 1;
      this.leaseExpiresAt = -Infinity;
      this.handleGrant(false, now);
    },
    mayRetry: (now: Milliseconds): boolean =>
      this.hasLease(now)
        ? now + this.computeRetryDelay() + storeTimeoutMs < this.leaseExpiresAt
        : this.failures < maxFailedJoins,
  };

  computeRetryDelay(): Milliseconds {
    return this.failures <= maxFastRetries && this.leaves <= maxFastLeaves
      ? leaseRetryDelayMs
      : leaseRenewIntervalMs;
  }

  /** Computes how long a leader that can't renew its lease goes on; 0 without a lease. */
  computeLeaseRest(now: Milliseconds): Milliseconds {
    return Math.max(0, this.leaseExpiresAt - leaseHandoverMs - now);
  }

  private receiveGrant(
    { isLeader, share, fencingToken }: LeaderGrant,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): void {
    this.failures = 0;
    this.leaves = 0;
    this.services.setShare(share, now);
    this.fencingToken = fencingToken;
    this.leaseExpiresAt = isLeader ? sentAt + leaderLeaseMs : -Infinity;
    this.chart.send({ type: 'JOINED' }, now);
    this.handleGrant(this.hasLease(now), now);
  }

  private noteFailedJoin(result: Result<LeaderGrant>, now: Milliseconds): void {
    this.failures += 1;
    this.services.log.warn(
      'The leader lease for placing layers was not renewed.',
      {
        reason: result.err ? result.val.message : 'the grant ended meanwhile',
        leaseMs: this.hasLease(now) ? Math.round(this.leaseExpiresAt - now) : 0,
        failures: this.failures,
      },
    );
    this.chart.send({ type: 'UNANSWERED' }, now);
  }

  private receiveLeave(result: Result<void>, now: Milliseconds): void {
    const { failures } = this;
    this.failures += result.err ? 1 : -failures;
    this.leaves += result.err ? 0 : 1;
    const type = result.err ? 'UNANSWERED' : 'LEFT';
    if (this.chart.send({ type }, now) && type === 'LEFT') {
      this.services.log.info(
        'This gateway joins the group again that elects the leader.',
        { failures },
      );
    }
  }
}

/** Binds the chart `groupMember`. Fails with `BadChart`. */
export const bindMemberChart = (): Result<MemberMachine> =>
  bindChart<GroupMember, MemberEvent>(ChartName.GroupMember, {
    actions: {
      requestJoin: (member, _, now) => {
        member.chartActions.requestJoin(now);
      },
      requestLeave: member => {
        member.chartActions.requestLeave();
      },
      endGrant: (member, _, now) => {
        member.chartActions.endGrant(now);
      },
    },
    guards: {
      mayRetry: (member, _, now) => member.chartActions.mayRetry(now),
    },
    delays: {
      RENEW_INTERVAL: () => leaseRenewIntervalMs,
      RETRY_DELAY: member => member.computeRetryDelay(),
      LEASE_REST: (member, now) => member.computeLeaseRest(now),
    },
  });
