/**
 * Load estimates of the backend servers, as kept by an entry.
 *
 * Agent reports may be outdated or wrong, so they are combined with this entry's
 * own observations: the cost that it has sent since the last report and the
 * waits of its requests. A report can raise a wait estimate above the observed
 * one but not lower it, and routing caps a reported capacity at a multiple of
 * the siblings' median. A server with a false report therefore cannot attract
 * all traffic.
 */
import { millisecondsPerSecond, type Milliseconds } from '@lycheetally/common';
import type { ServerView } from '../types.js';
import { AccountBacklog } from './accountBacklog.js';
import {
  LoadObserver,
  type AttemptEnd,
  type AttemptFacts,
} from './loadObserver.js';
import type { LoadReport } from './loadReport.js';

/** Age at which a report is no longer used, in milliseconds. */
export const reportExpiryMs = 5_000;

const observedWaitHalfLifeMs = 2_000;
const waitSmoothing = 0.3;
/** Assumed duration of a decode pass until the server's agent has reported. */
const defaultPassMs = 50;
/** One pass, plus half a pass on average until the current engine step ends. */
const passWaitFactor = 1.5;
/** An observed wait overrides the reported one only if longer by more than this, in milliseconds. */
const waitToleranceMs = 200;

interface ObservedWait {
  waitMs: Milliseconds;
  at: Milliseconds;
}

// Waits are kept apart for accounts below and above their fair share of the
// rank's backlog, because the two groups wait differently.
const findWaitIndex = (urgency: number, waitFactor: number): number =>
  urgency * 2 + (waitFactor < 1 ? 0 : 1);

/** One counter for each urgency. */
class RankCounts {
  private readonly counts: number[] = [];

  add(urgency: number, amount: number): void {
    this.counts[urgency] = (this.counts[urgency] ?? 0) + amount;
  }

  clear(): void {
    this.counts.length = 0;
  }

  /** Returns the sum over the ranks that are at least as urgent. */
  computeUpTo(urgency: number): number {
    let sum = 0;
    this.counts.forEach((count, rankUrgency) => {
      sum += rankUrgency <= urgency ? count : 0;
    });
    return sum;
  }
}

/** Load estimates of one backend server. */
export class ServerLoad {
  report: LoadReport | undefined;
  reportedAt: Milliseconds = 0;
  /** Attempts of this entry that are waiting for a slot, by urgency. */
  private readonly pending = new RankCounts();
  private readonly startedSinceReport = new RankCounts();
  private readonly offeredSinceReport = new RankCounts();
  private readonly observedWaits: ObservedWait[] = [];

  noteReport(report: LoadReport, now: Milliseconds): void {
    this.report = report;
    this.reportedAt = now;
    this.offeredSinceReport.clear();
    this.startedSinceReport.clear();
  }

  /**
   * Records an attempt sent to this server. The cost is what the attempt adds to
   * the server's queue; only the first stage queues work, so it is 0 at others.
   */
  noteOffered(urgency: number, cost: number): void {
    this.pending.add(urgency, 1);
    this.offeredSinceReport.add(urgency, cost);
  }

  noteStarted(urgency: number): void {
    this.pending.add(urgency, -1);
    this.startedSinceReport.add(urgency, 1);
  }

  noteNotStarted(urgency: number): void {
    this.pending.add(urgency, -1);
  }

  /** Records the wait of work that has started, for an account with this wait factor. */
  noteWait(
    urgency: number,
    waitFactor: number,
    waitMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const index = findWaitIndex(urgency, waitFactor);
    const observed = this.observedWaits[index];
    if (observed && now - observed.at < reportExpiryMs) {
      observed.waitMs += (waitMs - observed.waitMs) * waitSmoothing;
      observed.at = now;
      return;
    }
    this.observedWaits[index] = { waitMs, at: now };
  }

  /**
   * Estimates how long new work waits for a slot, in milliseconds. The factor is
   * the wait of the account as a multiple of the wait of its rank.
   */
  estimateWait(
    urgency: number,
    waitFactor: number,
    now: Milliseconds,
  ): Milliseconds {
    const report = this.getFreshReport(now);
    const reportedMs = report?.ranks[urgency]?.waitMs ?? 0;
    const capacity = report?.capacity ?? 0;
    const hasFreeSlot = report !== undefined && report.running < report.slots;
    const costSinceReport = this.offeredSinceReport.computeUpTo(urgency);
    const sinceReportMs =
      capacity > 0 && !hasFreeSlot
        ? (costSinceReport / capacity) * millisecondsPerSecond
        : 0;
    const observedMs = this.estimateObservedWait(
      findWaitIndex(urgency, waitFactor),
      now,
    );
    return Math.max((reportedMs + sinceReportMs) * waitFactor, observedMs);
  }

  /** Estimates the duration of one decode pass including half a pass of waiting, in milliseconds. */
  estimatePass(now: Milliseconds): Milliseconds {
    const passMs = this.getFreshReport(now)?.passMs ?? 0;
    return (passMs > 0 ? passMs : defaultPassMs) * passWaitFactor;
  }

  /**
   * Estimates the milliseconds between two tokens of a sequence when one more
   * sequence of the rank runs on the server and batches are full. Engines compute
   * more urgent sequences first, so less urgent ranks do not count.
   */
  estimateTokenGap(urgency: number, now: Milliseconds): Milliseconds {
    const report = this.getFreshReport(now);
    const capacity = report?.capacity ?? 0;
    if (!report || capacity <= 0) {
      return 0;
    }
    let sequences = 1 + this.startedSinceReport.computeUpTo(urgency);
    for (const rank of report.ranks) {
      sequences += rank.urgency <= urgency ? rank.sequences : 0;
    }
    sequences += Math.max(0, this.pending.computeUpTo(urgency));
    return (sequences / capacity) * millisecondsPerSecond;
  }

  get isIdle(): boolean {
    return this.pending.computeUpTo(Infinity) <= 0;
  }

  getFreshReport(now: Milliseconds): LoadReport | undefined {
    return now - this.reportedAt < reportExpiryMs ? this.report : undefined;
  }

  // The older an observed wait is, the less it counts.
  private estimateObservedWait(index: number, now: Milliseconds): Milliseconds {
    const observed = this.observedWaits[index];
    if (!observed) {
      return 0;
    }
    const decay = 2 ** (-(now - observed.at) / observedWaitHalfLifeMs);
    return Math.max(0, observed.waitMs - waitToleranceMs) * decay;
  }
}

export class LoadTracker extends LoadObserver {
  private readonly servers = new Map<string, ServerLoad>();
  /** Queued work of this entry, by service and rank. */
  private readonly backlogs = new Map<string, AccountBacklog>();

  get(serverId: string): ServerLoad {
    const known = this.servers.get(serverId);
    if (known) {
      return known;
    }
    const load = new ServerLoad();
    this.servers.set(serverId, load);
    return load;
  }

  /** Drops servers that are not in the list, unless attempts are waiting for them. */
  keepOnly(servers: readonly ServerView[]): void {
    const ids = new Set(servers.map(server => server.serverId));
    for (const [serverId, load] of this.servers) {
      if (!ids.has(serverId) && load.isIdle) {
        this.servers.delete(serverId);
      }
    }
  }

  override noteReport(
    serverId: string,
    report: LoadReport,
    now: Milliseconds,
  ): void {
    this.get(serverId).noteReport(report, now);
  }

  /** Returns the wait of an account as a multiple of the wait of its rank. */
  computeWaitFactor(service: string, urgency: number, account: string): number {
    const backlog = this.backlogs.get(formatQueueKey(service, urgency));
    return backlog?.computeWaitFactor(account) ?? 0;
  }

  override noteOffered(attempt: AttemptFacts): void {
    const { account, cost, urgency, accountWeight } = attempt;
    attempt.route.forEach((server, index) => {
      this.get(server.serverId).noteOffered(urgency, index === 0 ? cost : 0);
    });
    this.getBacklog(attempt).add(account, cost, accountWeight);
  }

  override noteStarted(
    attempt: AttemptFacts,
    waitedMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const { urgency } = attempt;
    for (const server of attempt.route) {
      this.get(server.serverId).noteStarted(urgency);
    }
    const backlog = this.getBacklog(attempt);
    // Routing computed the factor before this attempt was added to the backlog.
    backlog.remove(attempt.account, attempt.cost);
    const waitFactor = backlog.computeWaitFactor(attempt.account);
    const first = attempt.route[0];
    if (first) {
      this.get(first.serverId).noteWait(urgency, waitFactor, waitedMs, now);
    }
  }

  override noteEnded(attempt: AttemptFacts, end: AttemptEnd): void {
    if (end.runMs !== undefined) {
      return;
    }
    for (const server of attempt.route) {
      this.get(server.serverId).noteNotStarted(attempt.urgency);
    }
    this.getBacklog(attempt).remove(attempt.account, attempt.cost);
  }

  private getBacklog(attempt: AttemptFacts): AccountBacklog {
    const service = attempt.route[0]?.service ?? '';
    const key = formatQueueKey(service, attempt.urgency);
    const known = this.backlogs.get(key);
    if (known) {
      return known;
    }
    const backlog = new AccountBacklog();
    this.backlogs.set(key, backlog);
    return backlog;
  }
}

const formatQueueKey = (service: string, urgency: number): string =>
  `${service} ${String(urgency)}`;
