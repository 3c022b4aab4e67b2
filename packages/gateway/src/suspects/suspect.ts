/** What a gateway believes about one part of prompts; context of the chart `suspect`. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import {
  hashText,
  type Disposable,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  SightingSet,
  countMoments,
  firstTrialMs,
  sightingLifetimeMs,
  suspectIntervalMs,
  trialIntervalMs,
  type BlamePolicy,
  type SuspectStanding,
} from '@lycheetally/decisions';
import {
  clearedLifetimeMs,
  maxSightingsPerSuspect,
  trialTimeoutMs,
  trialWaitMs,
} from '../constants.js';
import type { SuspectLog } from './suspectLog.js';

export interface SuspectEvent {
  readonly type:
    | 'SIGHTED'
    | 'SUSPECTED'
    | 'EASED'
    | 'BLAMED'
    | 'TRIED'
    | 'ACQUITTED'
    | 'SERVED';
}

export type SuspectMachine = ChartMachine<Suspect, SuspectEvent>;

/** Services that tracked parts use. */
export interface SuspectServices {
  readonly machine: SuspectMachine;
  readonly timers: ChartTimers;
  readonly log: SuspectLog;
  readonly gatewayId: string;
  readonly policy: BlamePolicy;
  handleForgotten(part: Suspect): void;
}

/** Names the states of the chart in which no call is sent. */
const refusingStates = ['refused', 'due', 'trial'];

const maxHash = 2 ** 32;

export class Suspect implements Disposable, SuspectStanding {
  readonly sightings = new SightingSet(maxSightingsPerSuspect);
  /** Whether another gateway may have a record of the part. */
  isShared = false;
  /** When calls with the part began to be refused. */
  refusedAt: Milliseconds | undefined;
  /** When a call with the part was last sent although it was suspected. */
  lastSentAt: Milliseconds = -Infinity;
  private readonly chart: ChartInstance<Suspect, SuspectEvent>;

  constructor(
    private readonly services: SuspectServices,
    readonly service: string,
    readonly part: string,
    now: Milliseconds,
  ) {
    this.chart = services.machine.createInstance(this, services.timers);
    this.chart.start(now);
  }

  get crashCount(): number {
    return this.sightings.listLive().length;
  }

  get isBlamed(): boolean {
    return refusingStates.includes(this.chart.state);
  }

  get isSuspected(): boolean {
    return this.chart.matches('suspected');
  }

  /** Whether one call may be sent to find out if the part still crashes servers. */
  get isTrialDue(): boolean {
    return this.chart.matches('due');
  }

  /** Time of the newest crash; parts with older ones are forgotten first. */
  get newestAt(): Milliseconds {
    return this.sightings.listLive().at(-1)?.at ?? -Infinity;
  }

  send(type: SuspectEvent['type'], now: Milliseconds): void {
    this.chart.send({ type }, now);
  }

  refuseSince(since: Milliseconds, now: Milliseconds): void {
    this.refusedAt = Math.min(this.refusedAt ?? since, since);
    this.send('BLAMED', now);
  }

  /** Time until the next trial, which the gateway that owns the evidence makes; others follow only if it does not. */
  computeRefusal(now: Milliseconds): Milliseconds {
    const { sightings, refusedAt = now } = this;
    const crashes = sightings.listLive();
    const failedTrials = countMoments(
      crashes.filter(({ at }) => at >= refusedAt + firstTrialMs / 2),
      firstTrialMs / 2,
    );
    const lastAt = Math.max(
      refusedAt,
      crashes.at(-1)?.at ?? refusedAt,
      this.lastSentAt,
    );
    const ownMs = this.services.policy.computeTrialInterval(failedTrials);
    const intervalMs = sightings.isOwner()
      ? ownMs
      : Math.max(ownMs, trialIntervalMs) * (2 + this.computeOffset());
    return Math.max(0, lastAt + intervalMs - now);
  }

  dispose(): void {
    this.chart.dispose();
  }

  readonly chartActions = {
    noteSuspected: (now: Milliseconds): void => {
      this.recordChange('A part of prompts is suspected.', now);
    },
    noteBlamed: (now: Milliseconds): void => {
      this.recordChange('Calls with a part of prompts are refused.', now);
    },
    noteTrial: (now: Milliseconds): void => {
      this.lastSentAt = now;
      this.recordChange('A call tries a refused part of prompts.', now);
    },
    noteTrialFailed: (now: Milliseconds): void => {
      this.recordChange(
        'A refused part of prompts crashed a server again.',
        now,
      );
    },
    noteAcquitted: (now: Milliseconds): void => {
      this.refusedAt = undefined;
      this.recordChange(
        'Calls with a part of prompts are sent again, as most crashes were before an answer.',
        now,
      );
    },
    noteServed: (now: Milliseconds): void => {
      this.refusedAt = undefined;
      this.lastSentAt = -Infinity;
      if (this.isSuspected || this.isBlamed) {
        this.recordChange(
          'A part of prompts is cleared, since an answer was written.',
          now,
        );
      }
    },
    forget: (): void => {
      this.services.handleForgotten(this);
    },
  };

  /** Spreads the trials of the gateways over time, from 0 to 1. */
  private computeOffset(): number {
    return hashText(`${this.services.gatewayId}\u0000${this.part}`) / maxHash;
  }

  private recordChange(message: string, now: Milliseconds): void {
    const crashes = this.sightings.listLive();
    const newest = crashes.at(-1);
    const requests = new Set(crashes.map(({ requestId }) => requestId));
    this.services.log.write(
      message,
      {
        service: this.service,
        part: this.part,
        crashes: crashes.length,
        moments: countMoments(crashes, suspectIntervalMs),
        requests: [...requests].slice(-maxLoggedRequests).join(' '),
        lastCrash: newest?.crash ?? '',
        sinceFirstMs: Math.round(now - (crashes[0]?.at ?? now)),
      },
      now,
    );
  }
}

const maxLoggedRequests = 5;

/** Binds the chart `suspect`. Fails with `BadChart`. */
export const bindSuspectChart = (): Result<SuspectMachine> =>
  bindChart<Suspect, SuspectEvent>(ChartName.Suspect, {
    actions: {
      noteSuspected: (part, _, now) => {
        part.chartActions.noteSuspected(now);
      },
      noteBlamed: (part, _, now) => {
        part.chartActions.noteBlamed(now);
      },
      noteTrial: (part, _, now) => {
        part.chartActions.noteTrial(now);
      },
      noteTrialFailed: (part, _, now) => {
        part.chartActions.noteTrialFailed(now);
      },
      noteAcquitted: (part, _, now) => {
        part.chartActions.noteAcquitted(now);
      },
      noteServed: (part, _, now) => {
        part.chartActions.noteServed(now);
      },
      forget: part => {
        part.chartActions.forget();
      },
    },
    guards: { isShared: part => part.isShared },
    delays: {
      SIGHTING_LIFETIME: () => sightingLifetimeMs,
      CLEARED_LIFETIME: () => clearedLifetimeMs,
      REFUSAL: (part, now) => part.computeRefusal(now),
      TRIAL_TIMEOUT: () => trialTimeoutMs,
      TRIAL_WAIT: () => trialWaitMs,
    },
  });
