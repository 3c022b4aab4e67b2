/**
 * Simulates callers, entries and backend servers in virtual time. The decisions
 * are made by the same classes that the processes use.
 */
import type { Milliseconds, TypedError } from '@lycheetally/common';
import {
  BusyError,
  ServiceKind,
  computeTokenCost,
  type RankRule,
  type RequestView,
  type RouterConfiguration,
  type ServerView,
} from '@lycheetally/decisions';
import { Callers, type CallerSettings } from './callers.js';
import { benchService, type WorkerPlan } from './fakeFleet.js';
import { FakeLinks } from './fakeLinks.js';
import { FakeWorker } from './fakeWorker.js';
import type { EntryRules, PolicySet } from './policySet.js';
import { Sequence, type SequenceServices } from './sequence.js';
import { VirtualTime } from './virtualTime.js';
import { startStream, type RequestStream } from './workload.js';
import { RequestRecord, Tally } from './tally.js';

/** Settings of one simulation run. */
export interface BedOptions {
  readonly seed: number;
  readonly rules: PolicySet;
  readonly fleet: readonly WorkerPlan[];
  readonly ranks: readonly RankRule[];
  readonly streams: readonly RequestStream[];
  readonly untilMs: Milliseconds;
  readonly callers?: CallerSettings;
}

const entryCount = 2;
const reportIntervalMs = 500;
const reportLagMs = 100;
const hopMs = 1;
const failureDetectionMs = 1_500;

/** A backend server as one simulated entry sees it. */
class BedServer implements ServerView {
  readonly serverId: string;
  readonly agentAddress: string;
  readonly incarnation = '';
  readonly service = benchService.name;
  readonly kind = ServiceKind.Model;
  readonly layerFrom: number;
  readonly layerTo: number;
  readonly failureDomain: string;
  readonly accelerator: string;
  isConnected = true;
  isLeaving = false;
  outstanding = 0;

  constructor(plan: WorkerPlan) {
    this.serverId = plan.serverId;
    this.agentAddress = plan.serverId;
    this.layerFrom = plan.layerFrom;
    this.layerTo = plan.layerTo;
    this.failureDomain = plan.failureDomain;
    this.accelerator = plan.kind.name;
  }
}

interface BedEntry {
  readonly rules: EntryRules;
  readonly servers: readonly BedServer[];
  readonly byId: ReadonlyMap<string, BedServer>;
}

const createEntry = (
  rules: EntryRules,
  fleet: readonly WorkerPlan[],
): BedEntry => {
  const servers = fleet.map(plan => new BedServer(plan));
  const byId = new Map(servers.map(server => [server.serverId, server]));
  return { rules, servers, byId };
};

/** Runs the request streams against a simulated fleet with one set of policies. */
export class Bed {
  readonly time = new VirtualTime();
  readonly tally = new Tally();
  readonly workers: ReadonlyMap<string, FakeWorker>;
  private readonly entries: readonly BedEntry[];
  private readonly links = new FakeLinks();
  private readonly running = new Set<Sequence>();
  private readonly callers: Callers;
  private readonly configuration: RouterConfiguration;
  private turn = 0;

  constructor(private readonly options: BedOptions) {
    const { fleet, rules, ranks } = options;
    this.workers = new Map(
      fleet.map(plan => [
        plan.serverId,
        new FakeWorker(plan, this.time, rules, ranks),
      ]),
    );
    this.entries = Array.from({ length: entryCount }, (_, index) =>
      createEntry(
        rules.createEntryRules(options.seed * entryCount + index),
        fleet,
      ),
    );
    this.configuration = createConfiguration(options);
    this.callers = new Callers(options.callers, this.time, record => {
      this.receive(record, this.time.now);
    });
  }

  /** Starts the request streams and the periodic load reports. */
  start(): void {
    this.options.streams.forEach((stream, index) => {
      const seed = this.options.seed * seedStride + index;
      startStream(stream, seed, this.time, (request, now) => {
        const record = new RequestRecord(request, now);
        this.tally.add(record);
        this.receive(record, now);
      });
    });
    this.time.schedule(reportIntervalMs, now => {
      this.sendReports(now);
    });
  }

  run(): Tally {
    this.start();
    this.time.runUntil(this.options.untilMs);
    return this.tally;
  }

  /** Fails a backend server; entries notice after the failure detection time. */
  failWorker(serverId: string): void {
    this.workers.get(serverId)?.fail();
    this.time.schedule(failureDetectionMs, now => {
      this.setConnected(serverId, false);
      for (const sequence of [...this.running]) {
        if (sequence.uses(serverId)) {
          sequence.fail(serverId, now);
        }
      }
    });
  }

  /** Restarts a failed backend server and reconnects it to all entries. */
  startWorker(serverId: string): void {
    this.workers.get(serverId)?.engine.reset();
    this.setConnected(serverId, true);
  }

  private setConnected(serverId: string, isConnected: boolean): void {
    for (const { byId } of this.entries) {
      const server = byId.get(serverId);
      if (server) {
        server.isConnected = isConnected;
      }
    }
  }

  private receive(record: RequestRecord, now: Milliseconds): void {
    this.turn += 1;
    const entry = this.entries[this.turn % entryCount];
    if (!entry) {
      return;
    }
    const view = this.viewRequest(record);
    const decided = entry.rules.admission.decideAdmission(
      view,
      this.configuration,
      now,
    );
    if (decided.err) {
      this.refuse(record, decided.val, now);
      return;
    }
    entry.rules.retry.noteRequest(view, now);
    this.startAttempt(entry, record, now);
  }

  private startAttempt(
    entry: BedEntry,
    record: RequestRecord,
    now: Milliseconds,
  ): void {
    const view = this.viewRequest(record);
    const { routing } = entry.rules;
    const chosen = routing.chooseRoute(view, benchService, entry.servers, now);
    if (chosen.err) {
      this.refuse(record, chosen.val, now);
      return;
    }
    record.attempts += 1;
    const sequence = new Sequence(
      record,
      chosen.val,
      view,
      this.createServices(entry),
    );
    this.running.add(sequence);
    this.countOutstanding(entry, sequence, 1);
    entry.rules.observer.noteOffered(sequence.facts, now);
    this.time.schedule(hopMs, later => {
      sequence.enqueue(later);
    });
  }

  private createServices(entry: BedEntry): SequenceServices {
    return {
      time: this.time,
      links: this.links,
      tally: this.tally,
      getWorker: serverId => this.workers.get(serverId),
      handleStarted: (sequence, waitedMs, now) => {
        entry.rules.observer.noteStarted(sequence.facts, waitedMs, now);
      },
      handleEnded: (sequence, end, now) => {
        this.running.delete(sequence);
        this.countOutstanding(entry, sequence, -1);
        entry.rules.observer.noteEnded(sequence.facts, end, now);
        if (!end.isComplete) {
          this.handleIncomplete(entry, sequence, now);
        }
      },
    };
  }

  private handleIncomplete(
    entry: BedEntry,
    sequence: Sequence,
    now: Milliseconds,
  ): void {
    const { record, error, failedServerId } = sequence;
    if (failedServerId !== undefined) {
      record.avoided.push(failedServerId);
    }
    const view = this.viewRequest(record);
    const { retry } = entry.rules;
    if (record.deadlineAt <= now || !retry.mayRepeat(view, now)) {
      this.refuse(record, error, now);
      return;
    }
    this.tally.retries += 1;
    retry.noteRetry(view, now);
    this.time.schedule(retry.computeDelay(view), later => {
      this.startAttempt(entry, record, later);
    });
  }

  private refuse(
    record: RequestRecord,
    error: TypedError | undefined,
    now: Milliseconds,
  ): void {
    record.refusedAt = now;
    const retryAfterMs =
      error instanceof BusyError ? error.retryAfterMs : undefined;
    this.callers.handleRefused(record, retryAfterMs, now);
  }

  private countOutstanding(
    entry: BedEntry,
    sequence: Sequence,
    change: 1 | -1,
  ): void {
    for (const server of sequence.facts.route) {
      const known = entry.byId.get(server.serverId);
      if (known) {
        known.outstanding += change;
      }
    }
  }

  private viewRequest(record: RequestRecord): RequestView {
    const { request } = record;
    const cost = computeTokenCost(request.promptTokens, request.maxTokens);
    const rank = this.options.ranks.find(each => each.name === request.rank);
    return {
      requestId: request.requestId,
      account: request.account,
      rank: request.rank,
      service: benchService.name,
      deadlineAt: record.deadlineAt,
      isRepeatable: true,
      attempts: record.attempts,
      avoided: record.avoided,
      urgency: rank?.urgency,
      targetMs: rank?.targetMs,
      cost: cost.unwrap(),
      promptTokens: request.promptTokens,
      maxTokens: request.maxTokens,
    };
  }

  private sendReports(now: Milliseconds): void {
    for (const [serverId, worker] of this.workers) {
      if (worker.engine.isDown) {
        continue;
      }
      const report = worker.buildReport(now);
      this.time.schedule(reportLagMs, later => {
        for (const { rules } of this.entries) {
          rules.observer.noteReport(serverId, report, later);
        }
      });
    }
    this.time.schedule(reportIntervalMs, later => {
      this.sendReports(later);
    });
  }
}

const seedStride = 1_000;

const createConfiguration = (options: BedOptions): RouterConfiguration => {
  const names = [...new Set(options.streams.map(stream => stream.account))];
  return {
    version: 1,
    ranks: options.ranks,
    accounts: names.map(name => ({ name, keyHash: '', weight: 1 })),
    services: [{ ...benchService, accounts: names }],
  };
};
