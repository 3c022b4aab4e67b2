/** The suspects of one service, within limits, and when it wrote answers and its servers crashed. */
import {
  CrashTimes,
  FleetTrouble,
  ServingTimes,
  decideSuspicion,
  maxRestartMs,
  sightingLifetimeMs,
  troubleMomentMs,
  type ServiceHistory,
  type Suspicion,
} from '@lycheetally/decisions';
import type { Milliseconds } from '@lycheetally/common';
import {
  maxKnownCrashes,
  maxPartsPerCall,
  maxTrackedIdLength,
  servingResolutionMs,
} from '../constants.js';
import { AnsweredCalls } from './answeredCalls.js';
import { parseOutline } from './callIdentity.js';
import { createTrait } from './callTrait.js';
import { Suspect, type SuspectServices } from './suspect.js';
import type { ServerRun, TracedCall } from './suspectTracker.js';

/** Shortest time between two looks at the fleet, which has up to thousands of servers. */
const troubleCheckMs = 50;

/** Share of the suspects of one kind that is dropped to make room. */
const droppedShare = 1 / 8;

export class ServiceSuspects implements ServiceHistory {
  /** When answers were written, here or elsewhere. */
  readonly servings = new ServingTimes(servingResolutionMs, sightingLifetimeMs);
  /** Whole calls that were answered lately at this gateway. */
  readonly answered = new AnsweredCalls();
  /** All crashes that are known, with whatever suspect. */
  readonly crashTimes = new CrashTimes(maxKnownCrashes);
  readonly trouble = new FleetTrouble();
  private troubleCheckedAt: Milliseconds = -Infinity;
  /** Supposed crashes of servers that accept connections. */
  private readonly accepting = new Set<string>();
  private readonly suspects = new Map<string, Suspect>();
  /** How many suspects have each outline of a whole call. */
  private readonly outlines = new Map<string, number>();

  constructor(
    private readonly services: SuspectServices,
    readonly service: string,
  ) {}

  list(): Suspect[] {
    return [...this.suspects.values()];
  }

  find(id: string): Suspect | undefined {
    return this.suspects.get(id);
  }

  /** Finds the suspects that a call has; computes its digest only if a call like it is tracked. */
  findAll(call: TracedCall): Suspect[] {
    if (this.suspects.size === 0) {
      return [];
    }
    const { parts, identity } = call;
    const isLikely =
      this.outlines.size > 0 && this.outlines.has(identity?.outline ?? '');
    const ids = isLikely ? listTraitIds(call) : listPartIds(parts);
    return ids.flatMap(id => this.suspects.get(id) ?? []);
  }

  remove(suspect: Suspect): void {
    if (this.suspects.delete(suspect.trait.id)) {
      this.countOutline(suspect, -1);
    }
    suspect.dispose();
  }

  noteCrashed(crash: string, now: Milliseconds): void {
    this.accepting.delete(crash);
    this.crashTimes.add(crash, now);
  }

  /** Records that a run of a server goes on, whatever it did with a call. */
  noteAccepting(run: ServerRun): void {
    this.accepting.add(formatCrash(run));
    if (this.accepting.size > maxKnownCrashes) {
      const [oldest] = this.accepting;
      this.accepting.delete(oldest ?? '');
    }
  }

  /** Records whether much of the fleet is in trouble: its servers that are away, and those that broke calls lately. */
  checkTrouble(now: Milliseconds): void {
    if (now - this.troubleCheckedAt < troubleCheckMs) {
      return;
    }
    this.troubleCheckedAt = now;
    const fleet = this.services.describeFleet?.(this.service, now);
    if (!fleet) {
      return;
    }
    const broken = this.crashTimes
      .listSince(now - troubleMomentMs)
      .map(crash => crash.slice(0, crash.lastIndexOf('#')));
    const troubled = new Set([...fleet.troubled, ...broken]).size;
    const { total } = fleet;
    if (this.trouble.note({ total, troubled }, now)) {
      this.services.log.write(
        'Much of a service is in trouble; losses in it count little against calls.',
        {
          service: this.service,
          total,
          troubled,
          away: fleet.troubled.length,
          broken: broken.length,
        },
        now,
      );
    }
  }

  /** Judges a suspect by the crashes that no other one explains better. */
  decideSuspicion(suspect: Suspect, now: Milliseconds): Suspicion {
    const { policy } = suspect.trait;
    suspect.sightings.removeBefore(now - policy.lifetimeMs);
    const rivals = this.listRivals(suspect);
    return decideSuspicion(suspect, rivals, this, policy, now);
  }

  /** Returns the suspect, tracked from now on. */
  add(id: string, now: Milliseconds): Suspect {
    const known = this.suspects.get(id);
    if (known) {
      return known;
    }
    const { services, service } = this;
    const trait = createTrait(id, services.policies);
    const suspect = new Suspect(services, service, trait, now);
    suspect.wasAnswered = this.answered.has(id, now);
    this.makeRoom(suspect);
    this.suspects.set(id, suspect);
    this.countOutline(suspect, 1);
    return suspect;
  }

  /** Whether this run of the server has crashed, and the next one may not have begun. */
  hasCrashed(run: ServerRun, now: Milliseconds): boolean {
    const crash = formatCrash(run);
    const crashedAt = this.accepting.has(crash)
      ? undefined
      : this.crashTimes.find(crash);
    return crashedAt !== undefined && now - crashedAt < maxRestartMs;
  }

  /** Suspects that may explain a crash better; one of the other kind does so only once it is blamed, since a call and its parts are present together. */
  private listRivals({ trait }: Suspect): Suspect[] {
    return this.list().filter(
      other => other.trait.kind === trait.kind || other.isBlamed,
    );
  }

  /** Drops some suspects of the same kind if there are too many, those with the fewest and oldest crashes, refused ones last. */
  private makeRoom({ trait }: Suspect): void {
    const { kind, maxTracked } = trait;
    if (this.suspects.size < maxTracked) {
      return;
    }
    const alike = this.list().filter(other => other.trait.kind === kind);
    if (alike.length < maxTracked) {
      return;
    }
    const least = alike
      .sort(compareWeight)
      .slice(0, Math.ceil(maxTracked * droppedShare));
    for (const suspect of least) {
      this.remove(suspect);
    }
  }

  private countOutline({ trait }: Suspect, change: number): void {
    const outline = parseOutline(trait.id);
    if (outline === undefined) {
      return;
    }
    const count = (this.outlines.get(outline) ?? 0) + change;
    if (count > 0) {
      this.outlines.set(outline, count);
    } else {
      this.outlines.delete(outline);
    }
  }
}

/** Names a crash: a run of a server ends with it. */
export const formatCrash = ({ serverId, incarnation }: ServerRun): string =>
  `${trimId(serverId)}#${String(incarnation)}`;

export const trimId = (id: string): string => id.slice(0, maxTrackedIdLength);

/** The ids of all that a crash may be held against. */
export const listTraitIds = ({ parts, identity }: TracedCall): string[] => [
  ...listPartIds(parts),
  ...(identity ? [identity.id] : []),
];

const compareWeight = (a: Suspect, b: Suspect): number =>
  Number(a.isBlamed) - Number(b.isBlamed) ||
  a.crashCount - b.crashCount ||
  a.newestAt - b.newestAt;

/** The parts of a prompt that are considered. */
const listPartIds = (parts: readonly string[]): string[] => [
  ...new Set(
    parts
      .slice(0, maxPartsPerCall)
      .filter(({ length }) => length <= maxTrackedIdLength),
  ),
];
