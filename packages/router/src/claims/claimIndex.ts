/** The state of each key within the window, computed from the records of one claims stream. */
import type { Milliseconds } from '@lycheetally/common';
import {
  applyClaimRecord,
  isExpired,
  maxClockSkewMs,
  type AnyClaimRecord,
  type KeyState,
} from '@lycheetally/decisions';

/** Receives each record of a key as it is read from the stream. */
export abstract class KeyWatcher {
  abstract handleRecord(
    record: AnyClaimRecord,
    state: KeyState | undefined,
    now: Milliseconds,
  ): void;
}

export class ClaimIndex {
  private readonly states = new Map<string, KeyState>();
  private readonly watchers = new Map<string, Set<KeyWatcher>>();

  constructor(private readonly windowMs: Milliseconds) {}

  /** Number of keys held. */
  get size(): number {
    return this.states.size;
  }

  getState(key: string): KeyState | undefined {
    return this.states.get(key);
  }

  addWatcher(key: string, watcher: KeyWatcher): void {
    const keyWatchers = this.watchers.get(key) ?? new Set();
    this.watchers.set(key, keyWatchers.add(watcher));
  }

  removeWatcher(key: string, watcher: KeyWatcher): void {
    const keyWatchers = this.watchers.get(key);
    keyWatchers?.delete(watcher);
    if (keyWatchers?.size === 0) {
      this.watchers.delete(key);
    }
  }

  /** Applies the next record of the stream. */
  applyRecord(record: AnyClaimRecord, now: Milliseconds): void {
    const before = this.states.get(record.key);
    const state = applyClaimRecord(before, record, this.windowMs);
    if (state && state !== before) {
      // Re-inserted to keep the map ordered by age, which `dropExpired` relies on.
      this.states.delete(record.key);
      this.states.set(record.key, state);
    }
    for (const watcher of [...(this.watchers.get(record.key) ?? [])]) {
      watcher.handleRecord(record, state, now);
    }
    this.dropExpired(now);
  }

  private dropExpired(now: Milliseconds): void {
    for (const [key, state] of this.states) {
      if (!isExpired(state, now - maxClockSkewMs, this.windowMs)) {
        return;
      }
      this.states.delete(key);
    }
  }
}
