/**
 * Finds work that crashes the backend servers that run it, and keeps it from the others.
 *
 * A crash is held against the work that the server had not begun to answer. Work that
 * crashed a server runs at most once more, at one server that the work determines, and
 * never at the last one that lives; after three crashes, one after the other, it is
 * refused until a trial. An entry counts only the crashes that it saw itself.
 */
import type { ChartTimers } from '@lycheetally/charts';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type ComponentLogger,
  type Disposable,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  BusyError,
  ServerRuns,
  ServiceKind,
  Suspicion,
  chooseSuspectServer,
  decideSuspicion,
  type BlamePolicy,
  type ServerView,
  type ServiceRule,
} from '@lycheetally/decisions';
import {
  maxServerRuns,
  maxWorkSuspects,
  usualServerRestartMs,
} from '../../constants.js';
import { ServiceCrashes } from './serviceCrashes.js';
import type { WorkIdentity } from './workIdentity.js';
import {
  WorkSuspect,
  type WorkSuspectMachine,
  type WorkSuspectServices,
} from './workSuspect.js';

/** Work in the form that the table takes. */
export interface TracedWork {
  readonly requestId: string;
  readonly service: ServiceRule;
  readonly identity: WorkIdentity;
  /** Whether the work was admitted as the trial of a refused kind. */
  readonly isTrial: boolean;
  /** Whether an attempt of it ran, or may have. */
  readonly hasRun: boolean;
  /** Whether its answer has begun, so that it crashed no server at its start. */
  readonly isAnswerUnderWay: boolean;
}

/** A run of work at a server. */
export interface WorkRun {
  readonly serverId: string;
  readonly sentAt: Milliseconds;
}

export interface WorkSuspectsOptions {
  readonly machine: WorkSuspectMachine;
  readonly timers: ChartTimers;
  readonly policy: BlamePolicy;
  readonly log: ComponentLogger;
}

export class WorkSuspects implements Disposable {
  /** Oldest first. */
  private readonly suspects = new Map<string, WorkSuspect>();
  private readonly runs = new ServerRuns(maxServerRuns);
  private readonly services = new Map<string, ServiceCrashes>();
  private readonly suspectServices: WorkSuspectServices;

  constructor(private readonly options: WorkSuspectsOptions) {
    this.suspectServices = {
      ...options,
      handleForgotten: suspect => {
        this.remove(suspect);
      },
    };
  }

  /** Admits work, and tells whether it is a trial. Fails with `CallRefused` if its kind crashes servers. */
  admitWork(
    work: TracedWork,
    now: Milliseconds,
  ): Result<{ readonly isTrial: boolean }> {
    const suspect = this.find(work);
    if (!suspect?.isBlamed) {
      return Ok({ isTrial: false });
    }
    if (!suspect.isTrialDue) {
      return Err(createRefusal(suspect));
    }
    suspect.send('TRIED', now);
    return Ok({ isTrial: true });
  }

  /** Returns the error if work must not be sent, or not once more. */
  findFault(work: TracedWork): TypedError | undefined {
    const suspect = this.find(work);
    if (!suspect) {
      return undefined;
    }
    return work.hasRun
      ? this.findRepeatFault(work, suspect)
      : findVerdictFault(work, suspect);
  }

  /** Returns the servers that may run the work. Fails with `NoCapacity` if only the last living one is left. */
  filterServers(
    work: TracedWork,
    servers: readonly ServerView[],
    now: Milliseconds,
  ): Result<readonly ServerView[]> {
    const suspect = this.find(work);
    if (!suspect || !this.isPlaced(work, suspect, now)) {
      return Ok(servers);
    }
    const living = servers.filter(
      ({ serverId, isConnected, isLeaving }) =>
        isConnected && !isLeaving && !this.runs.isDown(serverId, now),
    );
    const chosen = chooseSuspectServer({
      suspectId: suspect.identity.id,
      servers: living.map(({ serverId }) => serverId),
      living: living.length,
      total: servers.length,
      // A trial may crash its server, however long ago the last crash was.
      sinceCrashMs: suspect.isBlamed ? 0 : now - suspect.newestAt,
    });
    return chosen === undefined
      ? Err(createHoldError(work.service.name))
      : Ok(living.filter(({ serverId }) => serverId === chosen));
  }

  /** Records that a server crashed before it had begun to answer the work. */
  noteCrashed(work: TracedWork, run: WorkRun, now: Milliseconds): void {
    const { serverId, sentAt } = run;
    const crash = this.runs.noteCrashed(serverId, sentAt, now);
    this.getService(work.service.name).crashTimes.add(crash, now);
    const suspect = this.find(work) ?? this.add(work, now);
    suspect.sightings.join({
      crash,
      requestId: work.requestId,
      at: now,
      sentAt,
      clearedAt: undefined,
      isOwn: true,
    });
    suspect.send('CRASHED', now);
    if (this.decideSuspicion(suspect, now) === Suspicion.Blamed) {
      suspect.send('BLAMED', now);
    }
  }

  /** Records that a server could not run the work. */
  noteUnreachable(serverId: string, now: Milliseconds): void {
    this.runs.noteUnreachable(serverId, now);
  }

  /** Records that servers answer the work, or answered it. */
  noteServed(
    work: TracedWork,
    runs: readonly WorkRun[],
    now: Milliseconds,
  ): void {
    for (const { serverId, sentAt } of runs) {
      this.runs.noteAnswered(serverId, sentAt);
    }
    this.services.get(work.service.name)?.servings.add(now);
    this.find(work)?.send('SERVED', now);
  }

  dispose(): void {
    for (const suspect of this.suspects.values()) {
      suspect.dispose();
    }
    this.suspects.clear();
  }

  /** Chains of a model's servers are not placed; the verdict protects them. */
  private isPlaced(
    { service, isAnswerUnderWay }: TracedWork,
    suspect: WorkSuspect,
    now: Milliseconds,
  ): boolean {
    return (
      service.kind === ServiceKind.Plain &&
      !isAnswerUnderWay &&
      (suspect.isBlamed ||
        this.decideSuspicion(suspect, now) !== Suspicion.None)
    );
  }

  private findRepeatFault(
    { requestId, isAnswerUnderWay }: TracedWork,
    suspect: WorkSuspect,
  ): TypedError | undefined {
    const { sightings, isBlamed } = suspect;
    const suspicion = isBlamed ? Suspicion.Blamed : Suspicion.Suspected;
    const crashes = sightings.listLive();
    const mayRepeat =
      isAnswerUnderWay ||
      this.options.policy.mayRepeat(suspicion, crashes, requestId);
    return mayRepeat ? undefined : createRepeatRefusal(suspect);
  }

  private decideSuspicion(suspect: WorkSuspect, now: Milliseconds): Suspicion {
    const { policy } = this.options;
    suspect.sightings.removeBefore(now - policy.lifetimeMs);
    const rivals = [...this.suspects.values()].filter(
      ({ service }) => service === suspect.service,
    );
    const history = this.getService(suspect.service);
    return decideSuspicion(suspect, rivals, history, policy, now);
  }

  /** Finds the suspect that is the same work; computes its outline only if there are suspects, and its digest only if one has its outline. */
  private find({ identity }: TracedWork): WorkSuspect | undefined {
    for (const suspect of this.suspects.values()) {
      if (suspect.identity.outline === identity.outline) {
        return this.suspects.get(identity.id);
      }
    }
    return undefined;
  }

  private add(work: TracedWork, now: Milliseconds): WorkSuspect {
    const { suspectServices } = this;
    const { identity, service } = work;
    const suspect = new WorkSuspect(
      suspectServices,
      service.name,
      identity,
      now,
    );
    this.suspects.set(identity.id, suspect);
    this.trim();
    return suspect;
  }

  /** Drops the oldest suspect if there are too many, refused ones last. */
  private trim(): void {
    if (this.suspects.size <= maxWorkSuspects) {
      return;
    }
    const all = [...this.suspects.values()];
    const dropped = all.find(({ isBlamed }) => !isBlamed) ?? all[0];
    if (dropped) {
      this.remove(dropped);
    }
  }

  private remove(suspect: WorkSuspect): void {
    this.suspects.delete(suspect.identity.id);
    suspect.dispose();
  }

  private getService(name: string): ServiceCrashes {
    const known = this.services.get(name);
    const service = known ?? new ServiceCrashes();
    this.services.set(name, service);
    return service;
  }
}

const findVerdictFault = (
  { isTrial }: TracedWork,
  suspect: WorkSuspect,
): TypedError | undefined =>
  suspect.isBlamed && !isTrial ? createRefusal(suspect) : undefined;

const createRefusal = ({ identity }: WorkSuspect): TypedError =>
  new TypedError(
    ErrorKind.CallRefused,
    `backend servers crash when they run this request (${identity.id})`,
    'change the request, or repair the servers and send it again later',
  );

const createRepeatRefusal = ({ identity }: WorkSuspect): TypedError =>
  new TypedError(
    ErrorKind.CallRefused,
    `the backend server crashed while it ran this request, which may be the cause (${identity.id}); it was not sent to another server`,
    'change the request, or send it again later',
  );

const createHoldError = (service: string): TypedError =>
  new BusyError(
    `the request may have crashed the other backend servers of service "${service}", and is not sent to the last one`,
    usualServerRestartMs,
  );
