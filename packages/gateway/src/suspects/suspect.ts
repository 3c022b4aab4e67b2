/** What a gateway believes about one trait of calls; context of the chart `suspect`. */
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
  countSteps,
  crashMomentMs,
  firstTrialMs,
  trialIntervalMs,
  type SuspectStanding,
} from '@lycheetally/decisions';
import {
  clearedLifetimeMs,
  maxSightingsPerSuspect,
  trialTimeoutMs,
  trialWaitMs,
} from '../constants.js';
import type { CallTrait, TraitMessages, TraitPolicies } from './callTrait.js';
import type { ServiceTrouble } from '../servers/serverRegistry.js';
import type { SuspectLog } from './suspectLog.js';

export interface SuspectEvent {
  readonly type:
    | 'SIGHTED'
    | 'SUSPECTED'
    | 'EASED'
    | 'BLAMED'
    | 'TRIED'
    | 'ACQUITTED'
    | 'SERVED'
    | 'LIFTED';
}

export type SuspectMachine = ChartMachine<Suspect, SuspectEvent>;

/** Services that suspects use. */
export interface SuspectServices {
  readonly machine: SuspectMachine;
  readonly timers: ChartTimers;
  readonly log: SuspectLog;
  readonly policies: TraitPolicies;
  readonly gatewayId: string;
  handleForgotten(suspect: Suspect): void;
  /** Returns how many servers the service has, and the ids of those in trouble; without it no trouble is known. */
  describeFleet?(service: string, now: Milliseconds): ServiceTrouble;
}

/** Names the states of the chart in which no call is sent. */
const refusingStates = ['refused', 'due', 'trial'];

const maxHash = 2 ** 32;

export class Suspect implements Disposable, SuspectStanding {
  readonly sightings = new SightingSet(maxSightingsPerSuspect);
  /** Whether another gateway may have a record of it. */
  isShared = false;
  /** Whether calls with the trait were answered shortly before the first crash. */
  wasAnswered = false;
  /** When calls with the trait began to be refused. */
  refusedAt: Milliseconds | undefined;
  /** When a call with the trait was last sent although it was suspected. */
  lastSentAt: Milliseconds = -Infinity;
  /** Whether it was suspected or refused before the event that the chart handles. */
  private wasDoubted = false;
  private readonly chart: ChartInstance<Suspect, SuspectEvent>;

  constructor(
    private readonly services: SuspectServices,
    readonly service: string,
    readonly trait: CallTrait,
    now: Milliseconds,
  ) {
    this.chart = services.machine.createInstance(this, services.timers);
    this.chart.start(now);
  }

  get crashCount(): number {
    return this.sightings.listLive().length;
  }

  get state(): string {
    return this.chart.state;
  }

  get isBlamed(): boolean {
    return refusingStates.includes(this.chart.state);
  }

  get isSuspected(): boolean {
    return this.chart.matches('suspected');
  }

  /** Whether calls with the trait are not sent as all others are. */
  get isDoubted(): boolean {
    return this.isSuspected || this.isBlamed;
  }

  /** Whether one call may be sent to find out if the trait still crashes servers. */
  get isTrialDue(): boolean {
    return this.chart.matches('due');
  }

  /** Whether all gateways send calls with the trait to the same server. */
  get isPlaced(): boolean {
    const isTrusted =
      this.wasAnswered && countSteps(this.sightings.listLive()) <= 1;
    return this.trait.policy.isPlaced && this.isDoubted && !isTrusted;
  }

  /** Time of the newest crash; suspects with older ones are forgotten first. */
  get newestAt(): Milliseconds {
    return this.sightings.listLive().at(-1)?.at ?? -Infinity;
  }

  send(type: SuspectEvent['type'], now: Milliseconds): void {
    this.wasDoubted = this.isDoubted;
    this.chart.send({ type }, now);
  }

  refuseSince(since: Milliseconds, now: Milliseconds): void {
    this.refusedAt = Math.min(this.refusedAt ?? since, since);
    this.send('BLAMED', now);
  }

  /** Time until the next trial, which the gateway that owns the evidence makes; others follow only if it does not. `Infinity` if there is none. */
  computeRefusal(now: Milliseconds): Milliseconds {
    const { sightings, refusedAt = now } = this;
    const lastAt = Math.max(refusedAt, this.newestAt, this.lastSentAt);
    const ownMs = this.computeTrialInterval(now);
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
      this.recordChange('suspected', now);
    },
    noteBlamed: (now: Milliseconds): void => {
      this.recordChange('refused', now);
    },
    noteTrial: (now: Milliseconds): void => {
      this.lastSentAt = now;
      this.recordChange('tried', now);
    },
    noteTrialFailed: (now: Milliseconds): void => {
      this.recordChange('trialFailed', now);
    },
    noteAcquitted: (now: Milliseconds): void => {
      this.refusedAt = undefined;
      this.recordChange('acquitted', now);
    },
    noteServed: (now: Milliseconds): void => {
      this.noteCleared('cleared', now);
    },
    noteLifted: (now: Milliseconds): void => {
      this.noteCleared('lifted', now);
    },
    forget: (): void => {
      this.services.handleForgotten(this);
    },
    isTrialDue: (now: Milliseconds): boolean => this.computeRefusal(now) <= 0,
    hasExpired: (now: Milliseconds): boolean =>
      this.computeVerdictLifetime(now) <= 0,
    /** Time until the next trial, or until the verdict is forgotten if there is none. */
    computeRefusalDelay: (now: Milliseconds): Milliseconds =>
      Math.min(
        this.computeRefusal(now),
        Math.max(0, this.computeVerdictLifetime(now)),
      ),
    computeTrialWait: (): Milliseconds =>
      Math.max(trialWaitMs, this.trait.policy.lifetimeMs),
  };

  private computeTrialInterval(now: Milliseconds): Milliseconds {
    const { sightings, refusedAt = now } = this;
    const failedTrials = countMoments(
      sightings
        .listLive()
        .filter(({ at }) => at >= refusedAt + firstTrialMs / 2),
      firstTrialMs / 2,
    );
    return this.trait.policy.computeTrialInterval(failedTrials);
  }

  /** Time for which a verdict without further trials holds. */
  private computeVerdictLifetime(now: Milliseconds): Milliseconds {
    return Number.isFinite(this.computeTrialInterval(now))
      ? Infinity
      : (this.refusedAt ?? now) + this.trait.policy.lifetimeMs - now;
  }

  private noteCleared(reason: 'cleared' | 'lifted', now: Milliseconds): void {
    this.refusedAt = undefined;
    this.lastSentAt = -Infinity;
    if (this.wasDoubted) {
      this.recordChange(reason, now);
    }
  }

  /** Spreads the trials of the gateways over time, from 0 to 1. */
  private computeOffset(): number {
    const { services, trait } = this;
    return hashText(`${services.gatewayId}\u0000${trait.id}`) / maxHash;
  }

  private recordChange(change: keyof TraitMessages, now: Milliseconds): void {
    const { service, trait, sightings, services } = this;
    const crashes = sightings.listLive();
    const requests = new Set(crashes.map(({ requestId }) => requestId));
    const own = crashes.filter(({ isOwn }) => isOwn);
    services.log.write(
      trait.messages[change],
      {
        service,
        suspect: trait.id,
        kind: trait.kind,
        crashes: crashes.length,
        moments: countMoments(crashes, crashMomentMs),
        steps: countSteps(crashes),
        requests: [...requests].slice(-maxLoggedCrashes).join(' '),
        servers: formatCrashes(crashes),
        seenHere: formatCrashes(own),
        sinceFirstMs: Math.round(now - (crashes[0]?.at ?? now)),
      },
      now,
    );
  }
}

const maxLoggedCrashes = 5;

/** Formats the newest crashes, each as the server and its incarnation. */
const formatCrashes = (crashes: readonly { crash: string }[]): string =>
  crashes
    .slice(-maxLoggedCrashes)
    .map(({ crash }) => crash)
    .join(' ');

/** Binds the chart `suspect`. Fails with `BadChart`. */
export const bindSuspectChart = (): Result<SuspectMachine> =>
  bindChart<Suspect, SuspectEvent>(ChartName.Suspect, {
    actions: {
      noteSuspected: (suspect, _, now) => {
        suspect.chartActions.noteSuspected(now);
      },
      noteBlamed: (suspect, _, now) => {
        suspect.chartActions.noteBlamed(now);
      },
      noteTrial: (suspect, _, now) => {
        suspect.chartActions.noteTrial(now);
      },
      noteTrialFailed: (suspect, _, now) => {
        suspect.chartActions.noteTrialFailed(now);
      },
      noteAcquitted: (suspect, _, now) => {
        suspect.chartActions.noteAcquitted(now);
      },
      noteServed: (suspect, _, now) => {
        suspect.chartActions.noteServed(now);
      },
      noteLifted: (suspect, _, now) => {
        suspect.chartActions.noteLifted(now);
      },
      forget: suspect => {
        suspect.chartActions.forget();
      },
    },
    guards: {
      isShared: suspect => suspect.isShared,
      isTrialDue: (suspect, _, now) => suspect.chartActions.isTrialDue(now),
      hasExpired: (suspect, _, now) => suspect.chartActions.hasExpired(now),
    },
    delays: {
      SIGHTING_LIFETIME: suspect => suspect.trait.policy.lifetimeMs,
      CLEARED_LIFETIME: () => clearedLifetimeMs,
      REFUSAL: (suspect, now) => suspect.chartActions.computeRefusalDelay(now),
      TRIAL_TIMEOUT: () => trialTimeoutMs,
      TRIAL_WAIT: suspect => suspect.chartActions.computeTrialWait(),
    },
  });
