/** Judges a suspect by what its service's gateways know: its crashes, other suspects at them, and the service's history. */
import type { Milliseconds } from '@lycheetally/common';
import {
  Suspicion,
  isExplained,
  type BlamePolicy,
  type SuspectCrash,
  type SuspectStanding,
} from './blamePolicy.js';
import { crashMomentMs } from './crashSteps.js';
import type { CrashTimes } from './crashTimes.js';
import type { ServingTimes } from './servingTimes.js';
import type { FleetTrouble } from '../trouble/fleetTrouble.js';
import type { Sighting, SightingSet } from './sightingSet.js';

/** A suspect with the crashes at which it was present. */
export interface SightedSuspect extends SuspectStanding {
  readonly sightings: SightingSet;
}

/** What is known of a service, whatever the suspect. */
export interface ServiceHistory {
  /** When it wrote answers. */
  readonly servings: ServingTimes;
  /** When its servers crashed. */
  readonly crashTimes: CrashTimes;
  /** When much of its fleet was in trouble. */
  readonly trouble?: FleetTrouble;
}

/** Judges a suspect by the crashes that no other suspect of the service explains better. */
export const decideSuspicion = (
  suspect: SightedSuspect,
  suspects: readonly SightedSuspect[],
  history: ServiceHistory,
  policy: BlamePolicy,
  now: Milliseconds,
): Suspicion => {
  const crashes = listCrashes(suspect.sightings, history);
  if (policy.decideSuspicion(crashes, now) === Suspicion.None) {
    return Suspicion.None;
  }
  const unexplained = crashes.filter(
    ({ crash }) =>
      !isExplained(
        suspect,
        suspects.filter(({ sightings }) => sightings.has(crash)),
      ),
  );
  const suspicion = policy.decideSuspicion(unexplained, now);
  const { trouble } = history;
  return suspicion === Suspicion.Suspected && trouble
    ? policy.decideSuspicion(policy.listCounted(unexplained, trouble), now)
    : suspicion;
};

const listCrashes = (
  sightings: SightingSet,
  { servings, crashTimes }: ServiceHistory,
): (SuspectCrash & Sighting)[] => {
  const live = sightings.listLive();
  return live.map(sighting => {
    const { at } = sighting;
    const present = live.filter(
      other => Math.abs(other.at - at) < crashMomentMs,
    );
    const known = crashTimes.count(at, crashMomentMs);
    return {
      ...sighting,
      servedAfterMs: servings.computePause(at),
      presence: present.length / Math.max(known, present.length),
      serviceCrashes: crashTimes.countSince(at),
    };
  });
};
