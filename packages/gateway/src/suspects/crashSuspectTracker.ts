/**
 * Finds the parts of prompts and the whole calls that crash backend servers, and refuses
 * calls with them.
 *
 * A crash is held against every trait of the calls that it broke before they
 * were answered, until a call with the trait is answered. What several gateways
 * sighted is joined, whatever the order of the news. A gateway creates one:
 *
 *     createSuspectTracker({
 *       machine: getOrThrow(bindSuspectChart()),
 *       timers: this.loop,
 *       log: loggers.createLogger(LogComponent.Prompts),
 *       policies: { part: new UnservedPart(), call: new UnservedCall() },
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
  chooseSuspectServer,
  type Sighting,
} from '@lycheetally/decisions';
import {
  disproofDelayMs,
  maxSuspectRetryAfterMs,
  maxTrackedIdLength,
  minSuspectRetryAfterMs,
  usualRestartMs,
} from '../constants.js';
import {
  createTrait,
  type TraitKind,
  type TraitPolicies,
} from './callTrait.js';
import { SuspectLog } from './suspectLog.js';
import { decodeSightings, listSuspectRecords } from './suspectRecords.js';
import type { SuspectMachine, SuspectServices, Suspect } from './suspect.js';
import {
  SuspectTracker,
  type AnsweredAttempt,
  type BrokenAttempt,
  type Placement,
  type PlacementChoice,
  type TracedCall,
  type ServerRun,
  type SuspectDecision,
  type SuspectName,
  type SuspectRecord,
} from './suspectTracker.js';
import {
  ServiceSuspects,
  formatCrash,
  listTraitIds,
  trimId,
} from './serviceSuspects.js';

export interface SuspectTrackerOptions {
  readonly machine: SuspectMachine;
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  readonly policies: TraitPolicies;
  /** Spreads the trials of several gateways over time. */
  readonly gatewayId: string;
  readonly describeFleet?: SuspectServices['describeFleet'];
}

export class CrashSuspectTracker extends SuspectTracker implements Disposable {
  private readonly byService = new Map<string, ServiceSuspects>();
  private readonly suspectServices: SuspectServices;
  private changes = 0;

  constructor(options: SuspectTrackerOptions) {
    super();
    const { log, ...services } = options;
    this.suspectServices = {
      ...services,
      log: new SuspectLog(log),
      handleForgotten: suspect => {
        this.byService.get(suspect.service)?.remove(suspect);
      },
    };
  }

  override get revision(): number {
    return this.changes;
  }

  /** Counts the suspects of a kind with crashes since they were last answered, or cleared lately. */
  countTracked(kind: TraitKind): number {
    return this.list().filter(({ trait }) => trait.kind === kind).length;
  }

  /** Counts the suspects of a kind with which calls are refused. */
  countRefused(kind: TraitKind): number {
    return this.listRefused().filter(({ trait }) => trait.kind === kind).length;
  }

  /** Lists the suspects with which calls are refused. */
  listRefused(): Suspect[] {
    return this.list().filter(({ isBlamed }) => isBlamed);
  }

  list(): Suspect[] {
    return [...this.byService.values()].flatMap(service => service.list());
  }

  override decideFirstAttempt(
    call: TracedCall,
    now: Milliseconds,
  ): SuspectDecision {
    const suspects = this.updateSuspicions(call, now);
    const forbidding = suspects.find(suspect => !maySend(suspect, now));
    if (forbidding) {
      return refuse(forbidding, now);
    }
    const isTrial = suspects.some(suspect => suspect.isTrialDue);
    for (const suspect of suspects) {
      if (suspect.isTrialDue) {
        suspect.send('TRIED', now);
      } else if (suspect.isSuspected) {
        suspect.lastSentAt = now;
      }
    }
    return { isAllowed: true, isTrial };
  }

  override decideDelayedAttempt(
    call: TracedCall,
    now: Milliseconds,
  ): SuspectDecision {
    const forbidding = this.updateSuspicions(call, now).find(
      ({ isBlamed }) => isBlamed,
    );
    return forbidding ? refuse(forbidding, now) : allow;
  }

  override decideRepeat(call: TracedCall, now: Milliseconds): SuspectDecision {
    const requestId = trimId(call.requestId);
    const service = this.getService(call.service);
    const forbidding = this.updateSuspicions(call, now).find(
      ({ trait, sightings, isBlamed, isSuspected }) => {
        const unblamed = isSuspected ? Suspicion.Suspected : Suspicion.None;
        const suspicion = isBlamed ? Suspicion.Blamed : unblamed;
        const crashes = trait.policy.listCounted(
          sightings.listLive(),
          service.trouble,
        );
        return !trait.policy.mayRepeat(suspicion, crashes, requestId);
      },
    );
    return forbidding ? refuse(forbidding, now) : allow;
  }

  override mayRunTwice(call: TracedCall): boolean {
    return !this.findAll(call).some(({ isDoubted }) => isDoubted);
  }

  override choosePlacement(
    call: TracedCall,
    { candidates, usable, total }: PlacementChoice,
    now: Milliseconds,
  ): Placement {
    const suspect = this.findPlaced(call);
    if (!suspect) {
      return { isFree: true };
    }
    const service = this.getService(call.service);
    const isAlive = (run: PlacementChoice['usable'][number]): boolean =>
      !service.hasCrashed(run, now);
    const serverId = chooseSuspectServer({
      suspectId: suspect.trait.id,
      servers: candidates.filter(isAlive).map(run => run.serverId),
      living: usable.filter(isAlive).length,
      total,
      // A trial may crash its server, however long ago the last crash was.
      sinceCrashMs: suspect.isBlamed ? 0 : now - suspect.newestAt,
    });
    return { isFree: false, serverId };
  }

  override estimateHold(call: TracedCall, now: Milliseconds): Milliseconds {
    const newestAt = this.findPlaced(call)?.newestAt ?? -Infinity;
    return Math.max(0, newestAt + usualRestartMs - now);
  }

  override noteBroken(
    call: TracedCall,
    attempt: BrokenAttempt,
    now: Milliseconds,
  ): void {
    const sighting: Sighting = {
      crash: formatCrash(attempt),
      requestId: trimId(call.requestId),
      at: now,
      sentAt: attempt.sentAt ?? now,
      clearedAt: undefined,
      isOwn: true,
    };
    const service = this.getService(call.service);
    service.noteCrashed(sighting.crash, now);
    for (const id of listTraitIds(call)) {
      const suspect = service.add(id, now);
      if (suspect.sightings.join(sighting) === SightingChange.Added) {
        this.changes += 1;
        suspect.send('SIGHTED', now);
      }
    }
    this.updateSuspicions(call, now);
  }

  override noteAccepting(service: string, run: ServerRun): void {
    this.getService(service).noteAccepting(run);
  }

  override noteServed(
    call: TracedCall,
    now: Milliseconds,
    attempt?: AnsweredAttempt,
  ): void {
    const service = this.getService(call.service);
    service.servings.add(now);
    if (call.identity) {
      service.answered.add(call.identity, now);
    }
    for (const suspect of service.findAll(call)) {
      if (suspect.crashCount > 0) {
        suspect.wasAnswered = true;
        this.changes += suspect.isShared ? 1 : 0;
        suspect.sightings.clear(now);
        suspect.send('SERVED', now);
      }
    }
    if (attempt) {
      this.dropDisproved(service, attempt, now);
    }
  }

  override clearSuspect(id: string, now: Milliseconds): boolean {
    const suspects = this.list().filter(
      ({ trait, crashCount }) => trait.id === id && crashCount > 0,
    );
    for (const suspect of suspects) {
      this.changes += 1;
      suspect.sightings.clear(now);
      suspect.send('LIFTED', now);
    }
    return suspects.length > 0;
  }

  override listRecords(now: Milliseconds): readonly SuspectRecord[] {
    return this.list().flatMap(suspect => listShared(suspect, now));
  }

  override listRecordsOf(
    suspects: readonly SuspectName[],
    now: Milliseconds,
  ): readonly SuspectRecord[] {
    const known = suspects.flatMap(
      ({ service, part }) => this.byService.get(service)?.find(part) ?? [],
    );
    return [...new Set(known)].flatMap(suspect => listShared(suspect, now));
  }

  override hasRecords(now: Milliseconds): boolean {
    return this.list().some(
      suspect => listSuspectRecords(suspect, now).length > 0,
    );
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
    for (const suspect of this.list()) {
      suspect.dispose();
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
    const { policies } = this.suspectServices;
    const { policy } = createTrait(record.part, policies);
    const sightings = decodeSightings(record, now).filter(
      ({ at }) => refusedAgeMs !== undefined || now - at < policy.lifetimeMs,
    );
    if (sightings.length === 0) {
      return;
    }
    const service = this.getService(record.service);
    const suspect = service.add(record.part, now);
    suspect.isShared = true;
    const changes = sightings.map(sighting => {
      service.crashTimes.add(sighting.crash, sighting.at);
      return suspect.sightings.join(sighting);
    });
    const isCleared = changes.includes(SightingChange.Cleared);
    if (isCleared) {
      answered.add(service);
    }
    if (suspect.crashCount === 0) {
      suspect.send('SERVED', now);
    } else if (isCleared && !policy.mayHold(suspect.crashCount)) {
      suspect.send('ACQUITTED', now);
    }
    if (changes.includes(SightingChange.Added)) {
      suspect.send('SIGHTED', now);
    }
    if (refusedAgeMs !== undefined && policy.mayHold(suspect.crashCount)) {
      suspect.refuseSince(now - refusedAgeMs, now);
    } else if (changes.includes(SightingChange.Added)) {
      this.updateVerdict(service, suspect, now);
    }
  }

  /** Clears a supposed crash: the server, in the same run, answered what it was sent before. An answer that was on its way when it crashed comes at once. */
  private dropDisproved(
    service: ServiceSuspects,
    attempt: AnsweredAttempt,
    now: Milliseconds,
  ): void {
    const crash = formatCrash(attempt);
    const crashedAt = service.crashTimes.find(crash);
    if (
      crashedAt === undefined ||
      attempt.sentAt >= crashedAt ||
      now - crashedAt < disproofDelayMs
    ) {
      return;
    }
    service.crashTimes.remove(crash);
    for (const suspect of service.list()) {
      if (suspect.sightings.clearCrash(crash, now)) {
        this.changes += suspect.isShared ? 1 : 0;
        this.notePartlyCleared(suspect, now);
      }
    }
  }

  private notePartlyCleared(suspect: Suspect, now: Milliseconds): void {
    const { crashCount, trait } = suspect;
    if (crashCount === 0) {
      suspect.send('SERVED', now);
    } else if (!trait.policy.mayHold(crashCount)) {
      suspect.send('ACQUITTED', now);
    }
  }

  /** Blames a suspect as soon as news complete the evidence; the other gateways may have less of it. */
  private updateVerdict(
    service: ServiceSuspects,
    suspect: Suspect,
    now: Milliseconds,
  ): void {
    const suspicion = service.decideSuspicion(suspect, now);
    if (suspicion === Suspicion.Blamed && !suspect.isBlamed) {
      this.changes += 1;
      suspect.refuseSince(now, now);
    }
  }

  /** Judges all suspects of a call by the same evidence, and returns them. */
  private updateSuspicions(call: TracedCall, now: Milliseconds): Suspect[] {
    const service = this.getService(call.service);
    const suspects = service.findAll(call);
    if (suspects.length > 0) {
      service.checkTrouble(now);
    }
    const judged = suspects
      .filter(({ isBlamed }) => !isBlamed)
      .map(suspect => ({
        suspect,
        suspicion: service.decideSuspicion(suspect, now),
      }));
    for (const { suspect, suspicion } of judged) {
      if (suspicion === Suspicion.Blamed) {
        this.changes += 1;
        suspect.refuseSince(now, now);
      } else {
        const isSuspected = suspicion === Suspicion.Suspected;
        suspect.send(isSuspected ? 'SUSPECTED' : 'EASED', now);
      }
    }
    return suspects;
  }

  private findAll(call: TracedCall): Suspect[] {
    return this.byService.get(call.service)?.findAll(call) ?? [];
  }

  private findPlaced(call: TracedCall): Suspect | undefined {
    return this.findAll(call).find(({ isPlaced }) => isPlaced);
  }

  private getService(name: string): ServiceSuspects {
    const known = this.byService.get(name);
    const service = known ?? new ServiceSuspects(this.suspectServices, name);
    this.byService.set(name, service);
    return service;
  }
}

/** Creates the tracker of one gateway. */
export const createSuspectTracker = (
  options: SuspectTrackerOptions,
): CrashSuspectTracker => new CrashSuspectTracker(options);

/** Lists the records of a suspect, of which others are told from now on. */
const listShared = (
  suspect: Suspect,
  now: Milliseconds,
): readonly SuspectRecord[] => {
  suspect.isShared = true;
  return listSuspectRecords(suspect, now);
};

const allow: SuspectDecision = { isAllowed: true, isTrial: false };

const maySend = (suspect: Suspect, now: Milliseconds): boolean => {
  if (suspect.isBlamed) {
    return suspect.isTrialDue;
  }
  const { sendIntervalMs } = suspect.trait.policy;
  return !suspect.isSuspected || now - suspect.lastSentAt >= sendIntervalMs;
};

const refuse = (suspect: Suspect, now: Milliseconds): SuspectDecision => ({
  isAllowed: false,
  trait: suspect.trait,
  retryAfterMs: suspect.isBlamed
    ? Math.min(
        maxSuspectRetryAfterMs,
        Math.max(minSuspectRetryAfterMs, suspect.computeRefusal(now)),
      )
    : minSuspectRetryAfterMs,
});
