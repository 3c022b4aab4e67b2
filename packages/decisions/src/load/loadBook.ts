/**
 * What an entry has learned of each backend server's load.
 *
 * Reports of agents are hints with an age. They are joined with this entry's
 * own evidence: the cost it has offered since the last report and the waits it
 * has seen. A report may raise an estimate above the evidence but never lower
 * it below, and a capacity counts only up to a multiple of its siblings', so
 * that a false report cannot draw all traffic.
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

/** Milliseconds after which a report counts for nothing. */
export const reportExpiryMs = 5_000;

const evidenceHalfLifeMs = 2_000;
const waitFade = 0.3;
/** Assumed until a server's agent has reported. */
const defaultPassMs = 50;
/** A pass, and half of one while the step before it ends. */
const passWithWait = 1.5;
/** Waits within this of the report's are not held against it, in milliseconds. */
const waitToleranceMs = 200;

interface SeenWait {
  waitMs: Milliseconds;
  at: Milliseconds;
}

// Accounts below and above their part of a rank's backlog wait differently.
const findWaitPlace = (urgency: number, factor: number): number =>
  urgency * 2 + (factor < 1 ? 0 : 1);

/** Numbers by urgency. */
class RankCounts {
  private readonly counts: number[] = [];

  add(urgency: number, amount: number): void {
    this.counts[urgency] = (this.counts[urgency] ?? 0) + amount;
  }

  clear(): void {
    this.counts.length = 0;
  }

  /** Adds up the ranks that are as urgent or more. */
  computeUpTo(urgency: number): number {
    let sum = 0;
    this.counts.forEach((count, each) => {
      sum += each <= urgency ? count : 0;
    });
    return sum;
  }
}

/** One server's entry in the book. */
export class ServerLoad {
  report: LoadReport | undefined;
  reportAt: Milliseconds = 0;
  /** Attempts of this entry that wait for their first slot, by urgency. */
  private readonly pending = new RankCounts();
  private readonly startedSince = new RankCounts();
  private readonly offeredSince = new RankCounts();
  private readonly seenWaits: SeenWait[] = [];

  noteReport(report: LoadReport, now: Milliseconds): void {
    this.report = report;
    this.reportAt = now;
    this.offeredSince.clear();
    this.startedSince.clear();
  }

  /** Takes the cost that the attempt adds to the queue there; 0 at later stages. */
  noteOffered(urgency: number, cost: number): void {
    this.pending.add(urgency, 1);
    this.offeredSince.add(urgency, cost);
  }

  noteStarted(urgency: number): void {
    this.pending.add(urgency, -1);
    this.startedSince.add(urgency, 1);
  }

  noteNotStarted(urgency: number): void {
    this.pending.add(urgency, -1);
  }

  /** Notes the wait of work that has started, of an account with this factor. */
  noteWait(
    urgency: number,
    factor: number,
    waitMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const place = findWaitPlace(urgency, factor);
    const seen = this.seenWaits[place];
    if (seen && now - seen.at < reportExpiryMs) {
      seen.waitMs += (waitMs - seen.waitMs) * waitFade;
      seen.at = now;
      return;
    }
    this.seenWaits[place] = { waitMs, at: now };
  }

  /**
   * Estimates the wait of new work for a slot, in milliseconds, for an account
   * whose wait is the factor times its rank's.
   */
  estimateWait(
    urgency: number,
    factor: number,
    now: Milliseconds,
  ): Milliseconds {
    const report = this.getFreshReport(now);
    const reported = report?.ranks[urgency]?.waitMs ?? 0;
    const capacity = report?.capacity ?? 0;
    const hasFreeSlot = report !== undefined && report.running < report.slots;
    const since = this.offeredSince.computeUpTo(urgency);
    const sinceMs =
      capacity > 0 && !hasFreeSlot
        ? (since / capacity) * millisecondsPerSecond
        : 0;
    const seenMs = this.estimateSeenWait(findWaitPlace(urgency, factor), now);
    return Math.max((reported + sinceMs) * factor, seenMs);
  }

  /** Estimates one decode pass, half a pass of waiting included, in milliseconds. */
  estimatePass(now: Milliseconds): Milliseconds {
    const passMs = this.getFreshReport(now)?.passMs ?? 0;
    return (passMs > 0 ? passMs : defaultPassMs) * passWithWait;
  }

  /**
   * Estimates the milliseconds between two tokens of a sequence at the server's
   * full rate, when one more sequence of the rank passes through it. Engines
   * compute the more urgent first.
   */
  estimateTokenGap(urgency: number, now: Milliseconds): Milliseconds {
    const report = this.getFreshReport(now);
    const capacity = report?.capacity ?? 0;
    if (!report || capacity <= 0) {
      return 0;
    }
    let sequences = 1 + this.startedSince.computeUpTo(urgency);
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
    return now - this.reportAt < reportExpiryMs ? this.report : undefined;
  }

  // An old wait says less; it fades with its age.
  private estimateSeenWait(place: number, now: Milliseconds): Milliseconds {
    const seen = this.seenWaits[place];
    if (!seen) {
      return 0;
    }
    const fade = 2 ** (-(now - seen.at) / evidenceHalfLifeMs);
    return Math.max(0, seen.waitMs - waitToleranceMs) * fade;
  }
}

export class LoadBook extends LoadObserver {
  private readonly servers = new Map<string, ServerLoad>();
  /** Work of this entry that waits for a slot, by service and rank. */
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

  /** Forgets servers that are gone. */
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

  /** Returns the wait of an account as a multiple of its whole rank's. */
  computeWaitFactor(service: string, urgency: number, account: string): number {
    const backlog = this.backlogs.get(formatQueue(service, urgency));
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
    // Without its own cost, as the decision saw it.
    backlog.remove(attempt.account, attempt.cost);
    const factor = backlog.computeWaitFactor(attempt.account);
    const first = attempt.route[0];
    if (first) {
      this.get(first.serverId).noteWait(urgency, factor, waitedMs, now);
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
    const key = formatQueue(service, attempt.urgency);
    const known = this.backlogs.get(key);
    if (known) {
      return known;
    }
    const backlog = new AccountBacklog();
    this.backlogs.set(key, backlog);
    return backlog;
  }
}

const formatQueue = (service: string, urgency: number): string =>
  `${service} ${String(urgency)}`;
