/**
 * Bounds what the callers of a gateway make it keep, and decides which connection gives way.
 *
 * Load patterns: many callers send bodies that stop just short of their end, heads that never
 * end, requests ahead whose answers they don't read, or only open connections. Each of them
 * stays within the limits of one request, but all of them together would exhaust the memory
 * or the descriptors of the process.
 *
 * The connection that costs most and has shown least progress is closed first: what counts is
 * the memory that it holds, for how long without progress, and how little its caller got for
 * it so far. Of two alike, the one gives way whose address holds more. A connection whose call
 * runs at a server, or whose answer is on its way, doesn't give way to connections. They have a
 * share of the places and of the memory, so that new callers always find some. Where it is
 * used up, a call takes the place of one whose caller has sent further requests ahead, or is refused.
 */
import type { Milliseconds } from '@lycheetally/common';

/** What one connection makes the gateway keep. */
export interface CallerUsage {
  /** Memory of the connection, its requests and its unread answers, in bytes. */
  readonly bytes: number;
  /** When it last brought a whole request or took an answer, or was opened. */
  readonly progressAt: Milliseconds;
  /** Answers that it has taken. */
  readonly answers: number;
  /** Whether one of its calls runs at a server, or its answer is on its way. */
  readonly isProtected: boolean;
  /** Whether further requests wait behind that call. */
  readonly hasRequestsAhead?: boolean;
}

/** Limits of all connections of a gateway together. */
export interface CallerLimits {
  readonly maxBytes: number;
  /** A connection that holds less than this gives way only where there are too many: an ordinary call holds no more, and closing it frees little. */
  readonly minExcessBytes: number;
  readonly maxConnections: number;
}

/** Accounts for the connections of a gateway; holders are compared by identity. */
export abstract class CallerAccount<T> {
  /** Sets what the connection of that address makes the gateway keep. */
  abstract update(holder: T, address: string, usage: CallerUsage): void;
  abstract release(holder: T): void;
  /** Lists the connections that are to be closed, so that the others stay within the limits. */
  abstract listExcess(now: Milliseconds): readonly T[];
  /** Whether the call of a further connection may run. */
  abstract get mayRunFurther(): boolean;
  /** Chooses the connection that gives its place to another call that is to run; it has requests ahead. */
  abstract chooseRunning(now: Milliseconds): T | undefined;
}

/** Share of the connections, and of their memory, that those may take whose calls run; each of them takes a descriptor for its server beside its own. */
export const maxRunningShare = 2 / 3;

interface Entry {
  readonly address: string;
  readonly usage: CallerUsage;
}

export class CostliestFirstAccount<T> extends CallerAccount<T> {
  private readonly entries = new Map<T, Entry>();
  /** Connections that hold enough to give way for the memory of others. */
  private readonly large = new Set<T>();
  private readonly bytesByAddress = new Map<string, number>();
  private bytes = 0;
  /** Connections whose calls run. */
  private readonly running = new Set<T>();
  private runningBytes = 0;

  constructor(private readonly limits: CallerLimits) {
    super();
  }

  /** Memory that all connections hold, in bytes. */
  get totalBytes(): number {
    return this.bytes;
  }

  get connections(): number {
    return this.entries.size;
  }

  override update(holder: T, address: string, usage: CallerUsage): void {
    this.release(holder);
    this.entries.set(holder, { address, usage });
    if (usage.isProtected) {
      this.running.add(holder);
      this.runningBytes += usage.bytes;
    } else if (usage.bytes >= this.limits.minExcessBytes) {
      this.large.add(holder);
    }
    this.addBytes(address, usage.bytes);
  }

  override release(holder: T): void {
    const entry = this.entries.get(holder);
    if (entry) {
      this.entries.delete(holder);
      this.large.delete(holder);
      if (this.running.delete(holder)) {
        this.runningBytes -= entry.usage.bytes;
      }
      this.addBytes(entry.address, -entry.usage.bytes);
    }
  }

  override listExcess(now: Milliseconds): readonly T[] {
    const { maxBytes, minExcessBytes, maxConnections } = this.limits;
    let excessBytes = this.bytes - maxBytes;
    let excessConnections = this.entries.size - maxConnections;
    const hasLargeExcess = excessBytes > 0 && this.large.size > 0;
    if (!hasLargeExcess && excessConnections <= 0) {
      return [];
    }
    const excess: T[] = [];
    for (const [holder, { usage }] of this.listByCost(now)) {
      if (excessBytes <= 0 && excessConnections <= 0) {
        break;
      }
      if (excessConnections > 0 || usage.bytes >= minExcessBytes) {
        excess.push(holder);
        excessBytes -= usage.bytes;
        excessConnections -= 1;
      }
    }
    return excess;
  }

  override get mayRunFurther(): boolean {
    const { maxBytes, maxConnections } = this.limits;
    return (
      this.running.size < Math.max(1, maxConnections * maxRunningShare) &&
      this.runningBytes < maxBytes * maxRunningShare
    );
  }

  override chooseRunning(now: Milliseconds): T | undefined {
    let chosen: T | undefined;
    let chosenCost = -Infinity;
    for (const holder of this.running) {
      const usage = this.entries.get(holder)?.usage;
      const cost = usage?.hasRequestsAhead
        ? computeCost(usage, now)
        : -Infinity;
      if (cost > chosenCost) {
        chosen = holder;
        chosenCost = cost;
      }
    }
    return chosen;
  }

  /** Lists the connections that may give way, the costliest first. */
  private listByCost(now: Milliseconds): (readonly [T, Entry])[] {
    const costs = new Map<T, number>();
    const candidates = [...this.entries].filter(
      ([, { usage }]) => !usage.isProtected,
    );
    for (const [holder, { usage }] of candidates) {
      costs.set(holder, computeCost(usage, now));
    }
    return candidates.sort(
      ([a, { address }], [b, other]) =>
        (costs.get(b) ?? 0) - (costs.get(a) ?? 0) ||
        this.getAddressBytes(other.address) - this.getAddressBytes(address),
    );
  }

  private getAddressBytes(address: string): number {
    return this.bytesByAddress.get(address) ?? 0;
  }

  private addBytes(address: string, bytes: number): void {
    this.bytes += bytes;
    const left = this.getAddressBytes(address) + bytes;
    if (left > 0) {
      this.bytesByAddress.set(address, left);
    } else {
      this.bytesByAddress.delete(address);
    }
  }
}

/** Byte-milliseconds that a connection has held without progress, for each answer that its caller got. */
const computeCost = (
  { bytes, progressAt, answers }: CallerUsage,
  now: Milliseconds,
): number => (bytes * Math.max(1, now - progressAt)) / (1 + answers);
