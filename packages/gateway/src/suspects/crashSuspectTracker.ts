/**
 * Finds the parts of prompts that crash backend servers, and refuses calls with
 * them.
 *
 * A crash is held against every part of the calls that it broke before they
 * were answered, until an answer on the part is written. What several gateways
 * sighted is joined, whatever the order of the news. A gateway creates one:
 *
 *     createSuspectTracker({
 *       machine: getOrThrow(bindSuspectChart()),
 *       timers: this.loop,
 *       log: loggers.createLogger(LogComponent.Prompts),
 *       policy: new UnservedPart(),
 *       gatewayId: settings.process.id,
 *     })
 */
import type { ChartTimers } from '@lycheetally/charts';
import type {
  ComponentLogger,
  Disposable,
  Milliseconds,
} from '@lycheetally/common';
import {
  SightingChange,
  Suspicion,
  sightingLifetimeMs,
  suspectIntervalMs,
  type BlamePolicy,
  type Sighting,
} from '@lycheetally/decisions';
import { maxSuspectRetryAfterMs, maxTrackedIdLength } from '../constants.js';
import { SuspectLog } from './suspectLog.js';
import { decodeSightings, listSuspectRecords } from './suspectRecords.js';
import type { SuspectMachine, SuspectServices, Suspect } from './suspect.js';
import {
  SuspectTracker,
  type BrokenServer,
  type TracedCall,
  type SuspectDecision,
  type SuspectRecord,
} from './suspectTracker.js';
import { ServiceSuspects, listCandidates } from './serviceSuspects.js';

export interface SuspectTrackerOptions {
  readonly machine: SuspectMachine;
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly policy: BlamePolicy;
  /** Spreads the trials of several gateways over time. */
  readonly gatewayId: string;
}

export class CrashSuspectTracker extends SuspectTracker implements Disposable {
  private readonly byService = new Map<string, ServiceSuspects>();
  private readonly partServices: SuspectServices;
  private readonly policy: BlamePolicy;
  private changes = 0;

  constructor(options: SuspectTrackerOptions) {
    super();
    const { machine, timers, log, policy, gatewayId } = options;
    this.policy = policy;
    this.partServices = {
      machine,
      timers,
      log: new SuspectLog(log),
      gatewayId,
      policy,
      handleForgotten: part => {
        this.byService.get(part.service)?.remove(part);
      },
    };
  }

  override get revision(): number {
    return this.changes;
  }

  /** Number of parts with crashes since they were last answered, or cleared lately. */
  get trackedParts(): number {
    return this.listParts().length;
  }

  /** Number of parts with which calls are refused. */
  get refusedParts(): number {
    return this.listRefused().length;
  }

  /** Lists the parts with which calls are refused. */
  listRefused(): Suspect[] {
    return this.listParts().filter(({ isBlamed }) => isBlamed);
  }

  override decideFirstAttempt(
    call: TracedCall,
    now: Milliseconds,
  ): SuspectDecision {
    const parts = this.updateSuspicions(call, now);
    const forbidding = parts.find(part => !maySend(part, now));
    if (forbidding) {
      return refuse(forbidding, now);
    }
    for (const part of parts) {
      if (part.isTrialDue) {
        part.send('TRIED', now);
      } else if (part.isSuspected) {
        part.lastSentAt = now;
      }
    }
    return { isAllowed: true };
  }

  override decideRepeat(call: TracedCall, now: Milliseconds): SuspectDecision {
    const forbidding = this.updateSuspicions(call, now).find(
      part =>
        part.isBlamed ||
        part.isSuspected ||
        hasCrashedServers(part, call.requestId),
    );
    return forbidding ? refuse(forbidding, now) : { isAllowed: true };
  }

  override noteBroken(
    call: TracedCall,
    server: BrokenServer,
    now: Milliseconds,
  ): void {
    const sighting: Sighting = {
      crash: `${trimId(server.serverId)}#${String(server.incarnation)}`,
      requestId: trimId(call.requestId),
      at: now,
      sentAt: now,
      clearedAt: undefined,
      isOwn: true,
    };
    const service = this.getService(call.service);
    service.crashTimes.add(sighting.crash, now);
    for (const id of listCandidates(call.parts)) {
      const part = service.add(id, now);
      if (part.sightings.join(sighting) === SightingChange.Added) {
        this.changes += 1;
        part.send('SIGHTED', now);
      }
    }
    this.updateSuspicions(call, now);
  }

  override noteServed(call: TracedCall, now: Milliseconds): void {
    const service = this.getService(call.service);
    service.servings.add(now);
    for (const part of service.findAll(call.parts)) {
      if (part.crashCount > 0) {
        this.changes += part.isShared ? 1 : 0;
        part.sightings.clear(now);
        part.send('SERVED', now);
      }
    }
  }

  override listRecords(now: Milliseconds): readonly SuspectRecord[] {
    return this.listParts().flatMap(part => {
      part.isShared = true;
      return listSuspectRecords(part, now);
    });
  }

  override mergeRecords(
    records: readonly SuspectRecord[],
    now: Milliseconds,
  ): void {
    const answered = new Set<ServiceSuspects>();
    for (const record of records) {
      const isUsable = [record.service, record.part].every(
        ({ length }) => length <= maxTrackedIdLength,
      );
      if (isUsable) {
        this.mergeRecord(record, answered, now);
      }
    }
    // What another gateway cleared proves that it wrote an answer.
    for (const service of answered) {
      service.servings.add(now);
    }
  }

  dispose(): void {
    for (const part of this.listParts()) {
      part.dispose();
    }
    this.byService.clear();
  }

  /** Merges a record; adds its service to `answered` if it tells of an answer. */
  private mergeRecord(
    record: SuspectRecord,
    answered: Set<ServiceSuspects>,
    now: Milliseconds,
  ): void {
    const { refusedAgeMs } = record;
    const sightings = decodeSightings(record, now).filter(
      ({ at }) => refusedAgeMs !== undefined || now - at < sightingLifetimeMs,
    );
    if (sightings.length === 0) {
      return;
    }
    const service = this.getService(record.service);
    const part = service.add(record.part, now);
    part.isShared = true;
    const changes = sightings.map(sighting => {
      service.crashTimes.add(sighting.crash, sighting.at);
      return part.sightings.join(sighting);
    });
    const isCleared = changes.includes(SightingChange.Cleared);
    if (isCleared) {
      answered.add(service);
    }
    if (part.crashCount === 0) {
      part.send('SERVED', now);
    } else if (isCleared && !this.policy.mayHold(part.crashCount)) {
      part.send('ACQUITTED', now);
    }
    if (changes.includes(SightingChange.Added)) {
      part.send('SIGHTED', now);
    }
    if (refusedAgeMs !== undefined && this.policy.mayHold(part.crashCount)) {
      part.refuseSince(now - refusedAgeMs, now);
    }
  }

  /** Judges all tracked parts of a call by the same evidence, and returns them. */
  private updateSuspicions(call: TracedCall, now: Milliseconds): Suspect[] {
    const service = this.getService(call.service);
    const parts = service.findAll(call.parts);
    const judged = parts
      .filter(({ isBlamed }) => !isBlamed)
      .map(part => ({
        part,
        suspicion: service.decideSuspicion(part, this.policy, now),
      }));
    for (const { part, suspicion } of judged) {
      if (suspicion === Suspicion.Blamed) {
        this.changes += 1;
        part.refuseSince(now, now);
      } else {
        const isSuspected = suspicion === Suspicion.Suspected;
        part.send(isSuspected ? 'SUSPECTED' : 'EASED', now);
      }
    }
    return parts;
  }

  private getService(name: string): ServiceSuspects {
    const known = this.byService.get(name);
    const service = known ?? new ServiceSuspects(this.partServices, name);
    this.byService.set(name, service);
    return service;
  }

  private listParts(): Suspect[] {
    return [...this.byService.values()].flatMap(service => service.list());
  }
}

/** Creates the tracker of one gateway. */
export const createSuspectTracker = (
  options: SuspectTrackerOptions,
): CrashSuspectTracker => new CrashSuspectTracker(options);

const maySend = (part: Suspect, now: Milliseconds): boolean => {
  if (part.isBlamed) {
    return part.isTrialDue;
  }
  return !part.isSuspected || now - part.lastSentAt >= suspectIntervalMs;
};

/** Whether one call crashed several servers; it must not go on from server to server. */
const hasCrashedServers = (part: Suspect, requestId: string): boolean => {
  const id = trimId(requestId);
  const own = part.sightings
    .listLive()
    .filter(sighting => sighting.requestId === id);
  return own.length >= maxCrashesPerCall;
};

/** Servers after whose crashes a call is not repeated. */
const maxCrashesPerCall = 2;

const refuse = (part: Suspect, now: Milliseconds): SuspectDecision => ({
  isAllowed: false,
  part: part.part,
  retryAfterMs: part.isBlamed
    ? Math.min(
        maxSuspectRetryAfterMs,
        Math.max(suspectIntervalMs, part.computeRefusal(now)),
      )
    : suspectIntervalMs,
});

const trimId = (id: string): string => id.slice(0, maxTrackedIdLength);
