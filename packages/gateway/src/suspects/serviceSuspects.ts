/** The tracked parts of one service's prompts, within a limit, and when it wrote answers. */
import {
  CrashTimes,
  ServingTimes,
  decideSuspicion,
  sightingLifetimeMs,
  type BlamePolicy,
  type ServiceHistory,
  type Suspicion,
} from '@lycheetally/decisions';
import type { Milliseconds } from '@lycheetally/common';
import {
  maxKnownCrashes,
  maxPartsPerCall,
  maxTrackedIdLength,
  maxTrackedSuspects,
  servingResolutionMs,
} from '../constants.js';
import { Suspect, type SuspectServices } from './suspect.js';

export class ServiceSuspects implements ServiceHistory {
  /** When answers were written, here or elsewhere. */
  readonly servings = new ServingTimes(servingResolutionMs, sightingLifetimeMs);
  /** All crashes that are known, with whatever part. */
  readonly crashTimes = new CrashTimes(maxKnownCrashes);
  private readonly parts = new Map<string, Suspect>();

  constructor(
    private readonly services: SuspectServices,
    readonly service: string,
  ) {}

  get size(): number {
    return this.parts.size;
  }

  list(): Suspect[] {
    return [...this.parts.values()];
  }

  /** Finds the tracked ones of a call's parts. */
  findAll(parts: readonly string[]): Suspect[] {
    if (this.parts.size === 0) {
      return [];
    }
    return listCandidates(parts).flatMap(part => this.parts.get(part) ?? []);
  }

  remove(part: Suspect): void {
    this.parts.delete(part.part);
    part.dispose();
  }

  /** Judges a part by the crashes that no other part explains better. */
  decideSuspicion(
    part: Suspect,
    policy: BlamePolicy,
    now: Milliseconds,
  ): Suspicion {
    part.sightings.removeBefore(now - sightingLifetimeMs);
    return decideSuspicion(part, this.list(), this, policy, now);
  }

  /** Returns the part, tracked from now on. */
  add(id: string, now: Milliseconds): Suspect {
    const known = this.parts.get(id);
    if (known) {
      return known;
    }
    this.trim();
    const { services, service } = this;
    const part = new Suspect(services, service, id, now);
    this.parts.set(id, part);
    return part;
  }

  /** Makes room: drops an eighth of the parts, those with the fewest and oldest crashes, refused ones last. */
  private trim(): void {
    if (this.parts.size < maxTrackedSuspects) {
      return;
    }
    const least = this.list()
      .sort(compareWeight)
      .slice(0, maxTrackedSuspects / 8);
    for (const part of least) {
      this.remove(part);
    }
  }
}

const compareWeight = (a: Suspect, b: Suspect): number =>
  Number(a.isBlamed) - Number(b.isBlamed) ||
  a.crashCount - b.crashCount ||
  a.newestAt - b.newestAt;

/** The parts of a call that are considered. */
export const listCandidates = (parts: readonly string[]): string[] => [
  ...new Set(
    parts
      .slice(0, maxPartsPerCall)
      .filter(({ length }) => length <= maxTrackedIdLength),
  ),
];
