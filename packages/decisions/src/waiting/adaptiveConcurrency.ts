/**
 * A limit that follows what the gateway's own runs show.
 *
 * The pressure of a run is its longest pause in the round, one that goes on included, as a share
 * of the pause that its route allows; before its first event, its age as a share of the target.
 * The pressure of the service is a low quantile over its runs, so that one slow stream has no
 * effect. The decision falls once in a round, and only on pauses that began after the last
 * decrease: earlier ones show what ran before it.
 *
 * A decrease assumes that the pause grows at most in proportion to what runs, so that it never
 * goes below the number that would just be on time by that rule. The limit rises while runs are
 * well on time and the limit was used, by a share while they are far from late.
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  ConcurrencyLimit,
  RunEnd,
  type RunTargets,
} from './concurrencyLimit.js';
import {
  failurePressure,
  highPressure,
  increaseShare,
  increaseStep,
  initialLimit,
  lowPressure,
  lowPressureWithoutRoom,
  maxDecreaseFactor,
  maxLimit,
  minLimit,
  roundMs,
  slowShare,
} from './constants.js';

interface ObservedRun {
  readonly targets: RunTargets;
  hasEvent: boolean;
  /** When it last started to wait for an event; infinite while its caller does not read. */
  waitsSince: Milliseconds;
  /** Largest pressure in this round. */
  pressure: number;
}

export class AdaptiveConcurrency extends ConcurrencyLimit {
  private limit = initialLimit;
  private lastPressure = 0;
  private readonly runs = new Map<string, ObservedRun>();
  /** Pressures of the runs that ended in this round. */
  private ended: number[] = [];
  private mostRunning = 0;
  private hasHeld = false;
  private hasLackedRoom = false;
  private roundStartedAt: Milliseconds = -Infinity;
  private decreasedAt: Milliseconds = -Infinity;

  override get value(): number {
    return Math.floor(this.limit);
  }

  override get pressure(): number {
    return this.lastPressure;
  }

  override noteStarted(
    id: string,
    targets: RunTargets,
    now: Milliseconds,
  ): void {
    this.runs.set(id, {
      targets,
      hasEvent: false,
      waitsSince: now,
      pressure: 0,
    });
    this.mostRunning = Math.max(this.mostRunning, this.runs.size);
  }

  override noteEvent(id: string, now: Milliseconds): void {
    const run = this.runs.get(id);
    if (run) {
      run.pressure = Math.max(run.pressure, this.measureWait(run, now));
      run.hasEvent = true;
      run.waitsSince = now;
    }
  }

  override notePaused(id: string): void {
    const run = this.runs.get(id);
    if (run) {
      run.waitsSince = Infinity;
    }
  }

  override noteFailure(id: string, now: Milliseconds): void {
    const run = this.runs.get(id);
    if (run) {
      run.pressure = Math.max(run.pressure, failurePressure);
      run.waitsSince = now;
    }
  }

  override noteEnded(id: string, end: RunEnd, now: Milliseconds): void {
    const run = this.runs.get(id);
    if (!run) {
      return;
    }
    this.runs.delete(id);
    if (end === RunEnd.Cancelled && !run.hasEvent && run.pressure === 0) {
      // It shows nothing: its caller left, or it found no chain.
      return;
    }
    const waited = this.measureWait(run, now);
    const atEnd = end === RunEnd.Failed ? failurePressure : waited;
    this.ended.push(Math.max(run.pressure, atEnd));
  }

  override noteHeld(): void {
    this.hasHeld = true;
  }

  override noteRoom(hasRoom: boolean): void {
    this.hasLackedRoom ||= !hasRoom;
  }

  override advance(now: Milliseconds): boolean {
    if (now - this.roundStartedAt < roundMs) {
      return false;
    }
    const pressures = [
      ...this.ended,
      ...[...this.runs.values()].map(run =>
        Math.max(run.pressure, this.measureWait(run, now)),
      ),
    ].sort((a, b) => a - b);
    const before = this.value;
    if (pressures.length > 0) {
      const at = Math.floor((1 - slowShare) * (pressures.length - 1));
      this.lastPressure = pressures[at] ?? 0;
      this.update(this.lastPressure, now);
    }
    this.startRound(now);
    return this.value !== before;
  }

  /** The pressure of the wait that goes on; one that began before the last decrease counts from there. */
  private measureWait(run: ObservedRun, now: Milliseconds): number {
    const { firstMs, pauseMs } = run.targets;
    const allowedMs = run.hasEvent ? pauseMs : firstMs;
    const since = Math.max(run.waitsSince, this.decreasedAt);
    return allowedMs === undefined ? 0 : Math.max(0, now - since) / allowedMs;
  }

  private update(pressure: number, now: Milliseconds): void {
    const { limit, mostRunning } = this;
    if (pressure >= highPressure) {
      const factor = Math.max(maxDecreaseFactor, highPressure / pressure);
      const isUsed = mostRunning >= limit / 2;
      this.limit = Math.max(
        minLimit,
        Math.min(limit, (isUsed ? mostRunning : limit) * factor),
      );
      this.decreasedAt = now;
      return;
    }
    const risesTo = this.hasLackedRoom ? lowPressureWithoutRoom : lowPressure;
    const isUsed = this.hasHeld || mostRunning >= this.value;
    if (pressure <= risesTo && (isUsed || limit < initialLimit)) {
      const step = Math.max(
        increaseStep,
        limit * increaseShare * (1 - pressure / risesTo),
      );
      this.limit = Math.min(maxLimit, limit + step);
    }
  }

  private startRound(now: Milliseconds): void {
    this.roundStartedAt = now;
    this.ended = [];
    this.mostRunning = this.runs.size;
    this.hasHeld = false;
    this.hasLackedRoom = false;
    for (const run of this.runs.values()) {
      run.pressure = 0;
    }
  }
}
