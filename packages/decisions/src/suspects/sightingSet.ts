/**
 * Crashes sighted with one suspect, as a set that several gateways merge.
 *
 * A crash is in the set once, whoever saw it. An answer on the suspect clears the
 * crashes before it for good: clearing wins over any number of sightings. The
 * earliest time of each fact is kept, so that passing news on in circles does
 * not make it look newer.
 */
import { hashText, type Milliseconds, type ValueOf } from '@lycheetally/common';

export interface Sighting {
  readonly crash: string;
  readonly requestId: string;
  readonly at: Milliseconds;
  /** When the call was sent to the server that crashed. */
  readonly sentAt: Milliseconds;
  /** When an answer on the suspect was written after the crash. */
  readonly clearedAt: Milliseconds | undefined;
  /** Whether the call ran through this gateway. */
  readonly isOwn: boolean;
}

/** How the set of uncleared crashes changed. */
export const SightingChange = {
  None: 'none',
  Added: 'added',
  Cleared: 'cleared',
} as const;
export type SightingChange = ValueOf<typeof SightingChange>;

export class SightingSet {
  private readonly byCrash = new Map<string, Sighting>();
  /** Uncleared crashes, oldest first; `undefined` after a change. */
  private live: readonly Sighting[] | undefined;

  constructor(private readonly maxSize: number) {}

  get size(): number {
    return this.byCrash.size;
  }

  /** Crashes since an answer was last written, oldest first. */
  listLive(): readonly Sighting[] {
    this.live ??= this.listAll()
      .filter(({ clearedAt }) => clearedAt === undefined)
      .sort((a, b) => a.at - b.at);
    return this.live;
  }

  listAll(): Sighting[] {
    return [...this.byCrash.values()];
  }

  /** Whether the crash is in the set and not cleared. */
  has(crash: string): boolean {
    const known = this.byCrash.get(crash);
    return known !== undefined && known.clearedAt === undefined;
  }

  /** Adds a sighting or joins it with what is known of the crash. */
  join(sighting: Sighting): SightingChange {
    const known = this.byCrash.get(sighting.crash);
    const joined = known ? joinSightings(known, sighting) : sighting;
    this.put(joined);
    this.trim();
    const wasLive = known !== undefined && known.clearedAt === undefined;
    if (joined.clearedAt !== undefined) {
      return wasLive ? SightingChange.Cleared : SightingChange.None;
    }
    return known ? SightingChange.None : SightingChange.Added;
  }

  /** Clears all crashes, since an answer was written. */
  clear(now: Milliseconds): void {
    for (const sighting of this.listLive()) {
      this.put({ ...sighting, clearedAt: now });
    }
  }

  /** Clears one crash, since its server went on; returns whether it was uncleared. */
  clearCrash(crash: string, now: Milliseconds): boolean {
    const known = this.byCrash.get(crash);
    if (known?.clearedAt !== undefined || known === undefined) {
      return false;
    }
    this.put({ ...known, clearedAt: now });
    return true;
  }

  /** Removes what was sighted before a time. */
  removeBefore(at: Milliseconds): void {
    for (const sighting of this.listAll()) {
      if (sighting.at < at) {
        this.drop(sighting);
      }
    }
  }

  /** Whether this gateway saw the crash that comes first in an order that all gateways share. */
  isOwner(): boolean {
    const [first] = this.listLive()
      .map(({ crash, requestId, isOwn }) => ({
        weight: hashText(`${crash}\u0000${requestId}`),
        isOwn,
      }))
      .sort((a, b) => a.weight - b.weight);
    return first?.isOwn ?? false;
  }

  private put(sighting: Sighting): void {
    this.byCrash.set(sighting.crash, sighting);
    this.live = undefined;
  }

  private drop({ crash }: Sighting): void {
    this.byCrash.delete(crash);
    this.live = undefined;
  }

  /** Keeps the set within its limit; cleared crashes go first, then the oldest. */
  private trim(): void {
    if (this.size <= this.maxSize) {
      return;
    }
    const [oldest] = this.listAll().sort(
      (a, b) =>
        Number(a.clearedAt === undefined) - Number(b.clearedAt === undefined) ||
        a.at - b.at,
    );
    if (oldest) {
      this.drop(oldest);
    }
  }
}

/** Joins two sightings of one crash; the call with the lower id stands for all calls that it broke. */
const joinSightings = (a: Sighting, b: Sighting): Sighting => {
  const lower = a.requestId <= b.requestId ? a : b;
  const isSameCall = a.requestId === b.requestId;
  const at = Math.min(a.at, b.at);
  const runMs = isSameCall
    ? Math.max(computeRun(a), computeRun(b))
    : computeRun(lower);
  return {
    crash: a.crash,
    requestId: lower.requestId,
    at,
    sentAt: at - runMs,
    clearedAt: findEarlier(a.clearedAt, b.clearedAt),
    isOwn: isSameCall ? a.isOwn || b.isOwn : lower.isOwn,
  };
};

/** Returns how long the server ran the call; unlike the times, it does not depend on the delay of news. */
const computeRun = ({ sentAt, at }: Sighting): Milliseconds => at - sentAt;

const findEarlier = (
  a: Milliseconds | undefined,
  b: Milliseconds | undefined,
): Milliseconds | undefined =>
  a === undefined || b === undefined ? (a ?? b) : Math.min(a, b);
