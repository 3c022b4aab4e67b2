/**
 * A limit that follows what the gateway's own runs show.
 *
 * The pressure of a run is its last pause, or the one that goes on if that is longer, as a share
 * of the pause that its route allows; before its first event, its age as a share of the target.
 * The pressure of the service is a low quantile over its runs, so that one slow stream has no
 * effect. The decision falls once in a round.
 *
 * The pause of a stream grows at most in proportion to what runs, so that `running x target
 * pressure / pressure` is a number of runs that is on time: below the target pressure it is a
 * careful estimate of what fits, above it a decrease that the next rounds continue. It is taken
 * from what ran while the pressure arose, never from the limit, so that it does not fall again
 * while the runs beyond a lower limit end.
 *
 * The limit rises only while it is used, in steps, and stays within a multiple of what ran
 * lately, so that a burst at the moment of a loss cannot start more than a second of work.
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  ConcurrencyLimit,
  RunEnd,
  type RunTargets,
} from './concurrencyLimit.js';
import {
  additiveStep,
  failurePressure,
  increaseShare,
  increaseStep,
  initialLimit,
  maxDecreaseFactor,
  maxHeadroom,
  maxLimit,
  minLimit,
  peakHalfLifeMs,
  restingLimit,
  roundMs,
  slowShare,
  targetPressure,
  targetPressureWithoutRoom,
  unusedDecreaseFactor,
} from './constants.js';

/** Below this pressures do not differ; it is divided by. */
const minPressure = 0.01;

interface ObservedRun {
  readonly targets: RunTargets;
  hasEvent: boolean;
  /** When it last started to wait for an event; infinite while its caller does not read. */
  waitsSince: Milliseconds;
  /** Of its last pause, or of a failure since then. */
  pressure: number;
  /** Whether it waits since a server of its chain was lost, which says nothing about the load of the others. */
  isHeldUp: boolean;
}

/** What ran in a round. */
interface RoundCounts {
  least: number;
  most: number;
}

export class AdaptiveConcurrency extends ConcurrencyLimit {
  private limit = initialLimit;
  private lastPressure = 0;
  private readonly runs = new Map<string, ObservedRun>();
  /** Pressures of the runs that ended in this round. */
  private ended: number[] = [];
  private round: RoundCounts = { least: 0, most: 0 };
  private previous: RoundCounts = { least: 0, most: 0 };
  /** The most that ran lately; decays. */
  private peak = 0;
  private hasHeld = false;
  private hasLackedRoom = false;
  private roundStartedAt: Milliseconds = -Infinity;

  override get value(): number {
    return Math.round(this.limit);
  }

  override get pressure(): number {
    return this.lastPressure;
  }

  override noteStarted(
    id: string,
    targets: RunTargets,
    now: Milliseconds,
  ): void {
    const run = {
      targets,
      hasEvent: false,
      waitsSince: now,
      pressure: 0,
      isHeldUp: false,
    };
    this.runs.set(id, run);
    this.round.most = Math.max(this.round.most, this.runs.size);
  }

  override noteEvent(id: string, now: Milliseconds): void {
    const run = this.runs.get(id);
    if (run) {
      run.pressure = run.isHeldUp ? 0 : measureWait(run, now);
      run.isHeldUp = false;
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

  override noteServerLost(id: string): void {
    const run = this.runs.get(id);
    if (run) {
      run.isHeldUp = true;
    }
  }

  override noteFailure(id: string, now: Milliseconds): void {
    const run = this.runs.get(id);
    if (run) {
      run.pressure = Math.max(failurePressure, measureWait(run, now));
      run.waitsSince = now;
    }
  }

  override noteEnded(id: string, end: RunEnd, now: Milliseconds): void {
    const run = this.runs.get(id);
    if (!run) {
      return;
    }
    this.runs.delete(id);
    this.round.least = Math.min(this.round.least, this.runs.size);
    if (
      run.isHeldUp ||
      (end === RunEnd.Cancelled && !run.hasEvent && run.pressure === 0)
    ) {
      // It shows nothing: its caller left, it found no chain, or it lost a server.
      return;
    }
    const atEnd = end === RunEnd.Failed ? failurePressure : 0;
    this.ended.push(Math.max(atEnd, measurePressure(run, now)));
  }

  override noteHeld(): void {
    this.hasHeld = true;
  }

  override noteRoom(hasRoom: boolean): void {
    this.hasLackedRoom ||= !hasRoom;
  }

  override advance(now: Milliseconds): boolean {
    const roundLastedMs = now - this.roundStartedAt;
    if (roundLastedMs < roundMs) {
      return false;
    }
    const before = this.value;
    this.peak = Math.max(
      this.round.most,
      this.peak * 2 ** (-roundLastedMs / peakHalfLifeMs),
    );
    const pressures = [
      ...this.ended,
      ...[...this.runs.values()]
        .filter(run => !run.isHeldUp && isTelling(run, now))
        .map(run => measurePressure(run, now)),
    ].sort((a, b) => a - b);
    if (pressures.length > 0) {
      const at = Math.floor((1 - slowShare) * (pressures.length - 1));
      this.lastPressure = pressures[at] ?? 0;
      this.update(Math.max(minPressure, this.lastPressure));
    }
    this.startRound(now);
    return this.value !== before;
  }

  private update(pressure: number): void {
    const { limit, round, previous, peak } = this;
    const target = this.hasLackedRoom
      ? targetPressureWithoutRoom
      : targetPressure;
    if (pressure > targetPressure) {
      const most = Math.max(round.most, previous.most);
      const fitting = (most * targetPressure) / pressure;
      this.limit = Math.max(
        minLimit,
        Math.min(limit, Math.max(fitting, limit * maxDecreaseFactor)),
      );
      return;
    }
    const headroom = Math.min(maxHeadroom, targetPressure / pressure);
    const bound = Math.max(restingLimit, peak * headroom + additiveStep);
    if (limit > bound) {
      this.limit = Math.max(bound, limit * unusedDecreaseFactor);
    } else if (this.hasHeld || round.most >= this.value) {
      const least = Math.min(round.least, previous.least);
      const fitting = (least * target) / pressure + additiveStep;
      const step = Math.max(increaseStep, limit * increaseShare);
      this.limit = Math.min(
        maxLimit,
        bound,
        limit + step,
        Math.max(limit, fitting),
      );
    }
  }

  private startRound(now: Milliseconds): void {
    const { size } = this.runs;
    this.roundStartedAt = now;
    this.ended = [];
    this.previous = this.round;
    this.round = { least: size, most: size };
    this.hasHeld = false;
    this.hasLackedRoom = false;
  }
}

const measurePressure = (run: ObservedRun, now: Milliseconds): number =>
  Math.max(run.pressure, measureWait(run, now));

/** Whether the run shows how busy the servers are; one without an event does so only once it is slow. */
const isTelling = (run: ObservedRun, now: Milliseconds): boolean =>
  run.hasEvent || measurePressure(run, now) > targetPressure;

/** The wait that goes on, as a share of what its route allows. */
const measureWait = (
  { targets, hasEvent, waitsSince }: ObservedRun,
  now: Milliseconds,
): number => {
  const allowedMs = hasEvent ? targets.pauseMs : targets.firstMs;
  return allowedMs === undefined
    ? 0
    : Math.max(0, now - waitsSince) / allowedMs;
};
