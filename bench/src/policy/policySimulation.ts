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
import { benchService, type ServerSpec } from './fakeFleet.js';
import { FakeLinks } from './fakeLinks.js';
import { FakeServer } from './fakeServer.js';
import type { EntryPolicies, PolicySet } from './policySet.js';
import { Sequence, type SequenceContext } from './sequence.js';
import { VirtualTime } from './virtualTime.js';
import { startStream, type RequestStream } from './workload.js';
import { RequestRecord, RunMetrics } from './runMetrics.js';

/** Settings of one simulation run. */
export interface SimulationOptions {
  readonly seed: number;
  readonly policies: PolicySet;
  readonly fleet: readonly ServerSpec[];
  readonly ranks: readonly RankRule[];
  readonly streams: readonly RequestStream[];
  readonly untilMs: Milliseconds;
  readonly callers?: CallerSettings;
}

const entryCount = 2;
const reportIntervalMs = 500;
const reportDelayMs = 100;
const entryToAgentDelayMs = 1;
const failureDetectionMs = 1_500;

/** A backend server as one simulated entry sees it. */
class EntryServerView implements ServerView {
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

  constructor(spec: ServerSpec) {
    this.serverId = spec.serverId;
    this.agentAddress = spec.serverId;
    this.layerFrom = spec.layerFrom;
    this.layerTo = spec.layerTo;
    this.failureDomain = spec.failureDomain;
    this.accelerator = spec.kind.name;
  }
}

interface SimulatedEntry {
  readonly policies: EntryPolicies;
  readonly servers: readonly EntryServerView[];
  readonly serversById: ReadonlyMap<string, EntryServerView>;
}

const createEntry = (
  policies: EntryPolicies,
  fleet: readonly ServerSpec[],
): SimulatedEntry => {
  const servers = fleet.map(spec => new EntryServerView(spec));
  const serversById = new Map(servers.map(server => [server.serverId, server]));
  return { policies, servers, serversById };
};

/** Runs the request streams against a simulated fleet with one set of policies. */
export class PolicySimulation {
  readonly time = new VirtualTime();
  readonly metrics = new RunMetrics();
  readonly servers: ReadonlyMap<string, FakeServer>;
  private readonly entries: readonly SimulatedEntry[];
  private readonly links = new FakeLinks();
  private readonly runningSequences = new Set<Sequence>();
  private readonly callers: Callers;
  private readonly configuration: RouterConfiguration;
  private receivedCount = 0;

  constructor(private readonly options: SimulationOptions) {
    const { fleet, policies, ranks } = options;
    this.servers = new Map(
      fleet.map(spec => [
        spec.serverId,
        new FakeServer(spec, this.time, policies, ranks),
      ]),
    );
    this.entries = Array.from({ length: entryCount }, (_, index) =>
      createEntry(
        policies.createEntryPolicies(options.seed * entryCount + index),
        fleet,
      ),
    );
    this.configuration = createConfiguration(options);
    this.callers = new Callers(options.callers, this.time, record => {
      this.receiveRequest(record, this.time.now);
    });
  }

  /** Starts the request streams and the periodic load reports. */
  start(): void {
    this.options.streams.forEach((stream, index) => {
      const seed = this.options.seed * seedStride + index;
      startStream(stream, seed, this.time, (request, now) => {
        const record = new RequestRecord(request, now);
        this.metrics.add(record);
        this.receiveRequest(record, now);
      });
    });
    this.time.schedule(reportIntervalMs, now => {
      this.sendReports(now);
    });
  }

  run(): RunMetrics {
    this.start();
    this.time.runUntil(this.options.untilMs);
    return this.metrics;
  }

  /** Fails a backend server; entries notice after the failure detection time. */
  failServer(serverId: string): void {
    this.servers.get(serverId)?.fail();
    this.time.schedule(failureDetectionMs, now => {
      this.setConnected(serverId, false);
      for (const sequence of [...this.runningSequences]) {
        if (sequence.usesServer(serverId)) {
          sequence.fail(serverId, now);
        }
      }
    });
  }

  /** Restarts a failed backend server and reconnects it to all entries. */
  restartServer(serverId: string): void {
    this.servers.get(serverId)?.engine.reset();
    this.setConnected(serverId, true);
  }

  private setConnected(serverId: string, isConnected: boolean): void {
    for (const { serversById } of this.entries) {
      const server = serversById.get(serverId);
      if (server) {
        server.isConnected = isConnected;
      }
    }
  }

  private receiveRequest(record: RequestRecord, now: Milliseconds): void {
    this.receivedCount += 1;
    const entry = this.entries[this.receivedCount % entryCount];
    if (!entry) {
      return;
    }
    const view = this.createRequestView(record);
    const decision = entry.policies.admission.decideAdmission(
      view,
      this.configuration,
      now,
    );
    if (decision.err) {
      this.handleRefusal(record, decision.val, now);
      return;
    }
    entry.policies.retry.noteRequest(view, now);
    this.startAttempt(entry, record, now);
  }

  private startAttempt(
    entry: SimulatedEntry,
    record: RequestRecord,
    now: Milliseconds,
  ): void {
    const view = this.createRequestView(record);
    const { routing } = entry.policies;
    const chosen = routing.chooseRoute(view, benchService, entry.servers, now);
    if (chosen.err) {
      this.handleRefusal(record, chosen.val, now);
      return;
    }
    record.attempts += 1;
    const sequence = new Sequence(
      record,
      chosen.val,
      view,
      this.createSequenceContext(entry),
    );
    this.runningSequences.add(sequence);
    this.updateOutstanding(entry, sequence, 1);
    entry.policies.observer.noteOffered(sequence.facts, now);
    this.time.schedule(entryToAgentDelayMs, later => {
      sequence.enqueue(later);
    });
  }

  private createSequenceContext(entry: SimulatedEntry): SequenceContext {
    return {
      time: this.time,
      links: this.links,
      metrics: this.metrics,
      getServer: serverId => this.servers.get(serverId),
      handleStarted: (sequence, waitedMs, now) => {
        entry.policies.observer.noteStarted(sequence.facts, waitedMs, now);
      },
      handleEnded: (sequence, end, now) => {
        this.runningSequences.delete(sequence);
        this.updateOutstanding(entry, sequence, -1);
        entry.policies.observer.noteEnded(sequence.facts, end, now);
        if (!end.isComplete) {
          this.handleIncomplete(entry, sequence, now);
        }
      },
    };
  }

  private handleIncomplete(
    entry: SimulatedEntry,
    sequence: Sequence,
    now: Milliseconds,
  ): void {
    const { record, error, failedServerId } = sequence;
    if (failedServerId !== undefined) {
      record.avoided.push(failedServerId);
    }
    const view = this.createRequestView(record);
    const { retry } = entry.policies;
    if (record.deadlineAt <= now || !retry.mayRepeat(view, now)) {
      this.handleRefusal(record, error, now);
      return;
    }
    this.metrics.retries += 1;
    retry.noteRetry(view, now);
    this.time.schedule(retry.computeDelay(view), later => {
      this.startAttempt(entry, record, later);
    });
  }

  private handleRefusal(
    record: RequestRecord,
    error: TypedError | undefined,
    now: Milliseconds,
  ): void {
    record.refusedAt = now;
    const retryAfterMs =
      error instanceof BusyError ? error.retryAfterMs : undefined;
    this.callers.handleRefused(record, retryAfterMs, now);
  }

  private updateOutstanding(
    entry: SimulatedEntry,
    sequence: Sequence,
    change: 1 | -1,
  ): void {
    for (const server of sequence.facts.route) {
      const serverView = entry.serversById.get(server.serverId);
      if (serverView) {
        serverView.outstanding += change;
      }
    }
  }

  private createRequestView(record: RequestRecord): RequestView {
    const { request } = record;
    const cost = computeTokenCost(request.promptTokens, request.maxTokens);
    const rank = this.options.ranks.find(rule => rule.name === request.rank);
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
    for (const [serverId, server] of this.servers) {
      if (server.engine.isDown) {
        continue;
      }
      const report = server.buildReport(now);
      this.time.schedule(reportDelayMs, later => {
        for (const { policies } of this.entries) {
          policies.observer.noteReport(serverId, report, later);
        }
      });
    }
    this.time.schedule(reportIntervalMs, later => {
      this.sendReports(later);
    });
  }
}

const seedStride = 1_000;

const createConfiguration = (
  options: SimulationOptions,
): RouterConfiguration => {
  const names = [...new Set(options.streams.map(stream => stream.account))];
  return {
    version: 1,
    ranks: options.ranks,
    accounts: names.map(name => ({ name, keyHash: '', weight: 1 })),
    services: [{ ...benchService, accounts: names }],
  };
};
