/**
 * Converts a suspect to the records that gateways exchange, and back.
 *
 * Crashes before an answer are listed in a record of their own, with the time
 * since the answer; ages are comparable only within one record.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { Sighting } from '@lycheetally/decisions';
import { maxSightingsPerSuspect, maxTrackedIdLength } from '../constants.js';
import type { Suspect } from './suspect.js';
import type { CrashSighting, SuspectRecord } from './suspectTracker.js';

export const listSuspectRecords = (
  { service, trait, sightings, isBlamed, refusedAt }: Suspect,
  now: Milliseconds,
): SuspectRecord[] => {
  const { id: part } = trait;
  const cleared = sightings
    .listAll()
    .filter(({ clearedAt }) => clearedAt !== undefined);
  const newestClearAt = Math.max(
    ...cleared.map(({ clearedAt }) => clearedAt ?? 0),
  );
  const live = sightings.listLive();
  const refusedAgeMs =
    isBlamed && refusedAt !== undefined ? now - refusedAt : undefined;
  return [
    {
      service,
      part,
      sightings: cleared.map(sighting => encodeSighting(sighting, now)),
      servedAgeMs: now - newestClearAt,
    },
    {
      service,
      part,
      sightings: live.map(sighting => encodeSighting(sighting, now)),
      refusedAgeMs,
    },
  ].filter(record => record.sightings.length > 0);
};

/** Returns the usable sightings of a record. */
export const decodeSightings = (
  { sightings, servedAgeMs }: SuspectRecord,
  now: Milliseconds,
): Sighting[] =>
  sightings
    .slice(0, maxSightingsPerSuspect)
    .filter(
      ({ crash, requestId }) =>
        crash.length <= maxTrackedIdLength &&
        requestId.length <= maxTrackedIdLength,
    )
    .map(({ crash, requestId, ageMs, sentAgeMs = ageMs }) => ({
      crash,
      requestId,
      at: now - ageMs,
      sentAt: now - Math.max(ageMs, sentAgeMs),
      clearedAt:
        servedAgeMs !== undefined && ageMs >= servedAgeMs
          ? now - servedAgeMs
          : undefined,
      isOwn: false,
    }));

const encodeSighting = (
  { crash, requestId, at, sentAt }: Sighting,
  now: Milliseconds,
): CrashSighting => ({
  crash,
  requestId,
  ageMs: now - at,
  sentAgeMs: now - sentAt,
});
