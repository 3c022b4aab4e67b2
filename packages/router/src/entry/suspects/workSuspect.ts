/** What an entry believes about work that crashed servers; context of the chart `workSuspect`. */
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
  SightingSet,
  countSteps,
  type BlamePolicy,
  type SuspectStanding,
} from '@lycheetally/decisions';
import { maxSightingsPerWork, workTrialTimeoutMs } from '../../constants.js';
import type { WorkIdentity } from './workIdentity.js';

export interface WorkSuspectEvent {
  readonly type: 'CRASHED' | 'BLAMED' | 'TRIED' | 'SERVED';
}

export type WorkSuspectMachine = ChartMachine<WorkSuspect, WorkSuspectEvent>;

/** Services that the table provides to its suspects. */
export interface WorkSuspectServices {
  readonly machine: WorkSuspectMachine;
  readonly timers: ChartTimers;
  readonly policy: BlamePolicy;
  readonly log: ComponentLogger;
  handleForgotten(suspect: WorkSuspect): void;
}

export class WorkSuspect implements Disposable, SuspectStanding {
  readonly sightings = new SightingSet(maxSightingsPerWork);
  private failedTrials = 0;
  private readonly chart: ChartInstance<WorkSuspect, WorkSuspectEvent>;

  constructor(
    readonly services: WorkSuspectServices,
    readonly service: string,
    readonly identity: WorkIdentity,
    now: Milliseconds,
  ) {
    this.chart = services.machine.createInstance(this, services.timers);
    this.chart.start(now);
  }

  get crashCount(): number {
    return this.sightings.listLive().length;
  }

  /** Whether the work is not sent, but for a trial. */
  get isBlamed(): boolean {
    return !this.chart.matches('suspected');
  }

  /** Whether one request may be sent to find out if its work still crashes servers. */
  get isTrialDue(): boolean {
    return this.chart.matches('due');
  }

  get newestAt(): Milliseconds {
    return this.sightings.listLive().at(-1)?.at ?? -Infinity;
  }

  send(type: WorkSuspectEvent['type'], now: Milliseconds): void {
    this.chart.send({ type }, now);
  }

  dispose(): void {
    this.chart.dispose();
  }

  /** Actions, guards and delays of the chart. */
  readonly chartActions = {
    noteBlamed: (): void => {
      this.report('Work is refused, since it crashes servers.');
    },
    noteTrial: (): void => {
      this.report('Refused work is tried.');
    },
    noteTrialFailed: (): void => {
      this.failedTrials += 1;
      this.report('Refused work crashed a server again.');
    },
    noteCleared: (): void => {
      this.report('Refused work is cleared, since it was answered.');
    },
    forget: (): void => {
      this.services.handleForgotten(this);
    },
    hasTrial: (): boolean => Number.isFinite(this.computeTrialInterval()),
    /** Time until the next trial, or until the verdict is forgotten if there is none. */
    computeRefusal: (): Milliseconds =>
      Math.min(this.computeTrialInterval(), this.services.policy.lifetimeMs),
  };

  private computeTrialInterval(): Milliseconds {
    return this.services.policy.computeTrialInterval(this.failedTrials);
  }

  private report(message: string): void {
    const crashes = this.sightings.listLive();
    this.services.log.warn(message, {
      service: this.service,
      work: this.identity.id,
      crashes: crashes.length,
      steps: countSteps(crashes),
      servers: crashes.map(({ crash }) => crash).join(' '),
    });
  }
}

/** Binds the chart `workSuspect`. Fails with `BadChart`. */
export const bindWorkSuspectChart = (): Result<WorkSuspectMachine> =>
  bindChart<WorkSuspect, WorkSuspectEvent>(ChartName.WorkSuspect, {
    actions: {
      noteBlamed: suspect => {
        suspect.chartActions.noteBlamed();
      },
      noteTrial: suspect => {
        suspect.chartActions.noteTrial();
      },
      noteTrialFailed: suspect => {
        suspect.chartActions.noteTrialFailed();
      },
      noteCleared: suspect => {
        suspect.chartActions.noteCleared();
      },
      forget: suspect => {
        suspect.chartActions.forget();
      },
    },
    guards: { hasTrial: suspect => suspect.chartActions.hasTrial() },
    delays: {
      LIFETIME: suspect => suspect.services.policy.lifetimeMs,
      REFUSAL: suspect => suspect.chartActions.computeRefusal(),
      TRIAL_TIMEOUT: () => workTrialTimeoutMs,
    },
  });
