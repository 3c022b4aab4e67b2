/** Digests that tell which records of suspects changed; ages, which always do, are left out. */
import { hashText } from '@lycheetally/common';
import type { SuspectRecord } from './suspectTracker.js';

const separator = '\0';

const describeRecord = (record: SuspectRecord): string =>
  [
    record.service,
    record.part,
    String(record.refusedAgeMs !== undefined),
    String(record.servedAgeMs !== undefined),
    ...record.sightings
      .map(({ crash, requestId }) => `${crash}${separator}${requestId}`)
      .sort(),
  ].join(separator);

/** Returns one digest of all records, in any order. */
export const computeDigest = (records: readonly SuspectRecord[]): number =>
  hashText(records.map(describeRecord).sort().join(separator));

/** Remembers which records the other gateways were sent, or sent themselves. */
export class SentRecords {
  private digests = new Map<string, number>();

  /** Returns the records that changed since they were kept. */
  filterChanged(records: readonly SuspectRecord[]): SuspectRecord[] {
    return records.filter(record => this.hasChanged(record));
  }

  /** Keeps the records as they are now, and drops all others. */
  keepAll(records: readonly SuspectRecord[]): void {
    this.digests = new Map(records.map(toDigestEntry));
  }

  /** Keeps the records as they are after another gateway's were merged, except those that it does not know of. */
  keepMerged(
    before: readonly SuspectRecord[],
    after: readonly SuspectRecord[],
  ): void {
    const unsent = new Set(this.filterChanged(before).map(formatKey));
    const known = after.filter(record => !unsent.has(formatKey(record)));
    for (const [key, digest] of known.map(toDigestEntry)) {
      this.digests.set(key, digest);
    }
  }

  private hasChanged(record: SuspectRecord): boolean {
    const [key, digest] = toDigestEntry(record);
    return this.digests.get(key) !== digest;
  }
}

const toDigestEntry = (record: SuspectRecord): [string, number] => [
  formatKey(record),
  hashText(describeRecord(record)),
];

/** A suspect may have one record of crashes before an answer, and one of later crashes. */
const formatKey = ({ service, part, servedAgeMs }: SuspectRecord): string =>
  [service, part, String(servedAgeMs !== undefined)].join(separator);
