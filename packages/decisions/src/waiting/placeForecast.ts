/**
 * Forecasts when a place comes for a call that waits.
 *
 * Places come as runs end: by Little's law, what may run divided by the usual duration. That
 * duration is at least what the running calls show by their age, so that it follows a slowdown
 * before the first slow run has ended. A rank has the places that the more urgent ranks leave,
 * and at least its floor.
 */
import type { Milliseconds } from '@lycheetally/common';
import { DecayingSum } from '../load/decayingSum.js';
import { getOrCreateSum } from './rankSums.js';
import {
  durationSmoothing,
  firstAnswerMs,
  firstDurationMs,
  rateHalfLifeMs,
} from './constants.js';

/** What a forecast knows of the queue. */
export interface QueueView {
  /** Calls that may run at once. */
  readonly limit: number;
  readonly running: number;
  /** Calls that get a place before this one. */
  readonly ahead: number;
  readonly urgency: number;
  /** Share of the places that the rank gets at least. */
  readonly floor: number;
}

/** The average of the newest values. */
class MovingAverage {
  constructor(public value: number) {}

  add(sample: number): void {
    this.value += (sample - this.value) * durationSmoothing;
  }
}

export class PlaceForecast {
  private readonly durations = new MovingAverage(firstDurationMs);
  private readonly answers = new MovingAverage(firstAnswerMs);
  private readonly started: DecayingSum[] = [];
  private readonly arrivals = new DecayingSum(rateHalfLifeMs);
  private readonly running = new Map<string, Milliseconds>();
  /** Runs without an event. */
  private readonly unanswered = new Set<string>();

  /** The time to the first event that is to be expected. */
  get answerMs(): Milliseconds {
    return this.answers.value;
  }

  noteArrived(now: Milliseconds): void {
    this.arrivals.add(1, now);
  }

  noteStarted(id: string, urgency: number, now: Milliseconds): void {
    this.running.set(id, now);
    this.unanswered.add(id);
    getOrCreateSum(this.started, urgency).add(1, now);
  }

  noteAnswered(id: string, now: Milliseconds): void {
    const startedAt = this.running.get(id);
    if (startedAt !== undefined && this.unanswered.delete(id)) {
      this.answers.add(now - startedAt);
    }
  }

  noteEnded(id: string, isComplete: boolean, now: Milliseconds): void {
    const startedAt = this.running.get(id);
    this.running.delete(id);
    this.unanswered.delete(id);
    if (startedAt !== undefined && isComplete) {
      this.durations.add(now - startedAt);
    }
  }

  /** The usual duration of a run; runs of a mean age are half over. */
  estimateDuration(now: Milliseconds): Milliseconds {
    const { running, durations } = this;
    const ages = [...running.values()].map(startedAt => now - startedAt);
    const meanAge = ages.reduce((sum, age) => sum + age, 0) / ages.length;
    return Math.max(1, durations.value, ages.length > 0 ? meanAge * 2 : 0);
  }

  /** Places per millisecond at that limit. */
  computeRate(limit: number, now: Milliseconds): number {
    return limit / this.estimateDuration(now);
  }

  /** Calls that arrive for each place that comes. */
  computeLoad(limit: number, now: Milliseconds): number {
    return this.arrivals.computeRate(now) / this.computeRate(limit, now);
  }

  /** Estimates how long the call waits for its place. */
  estimateWait(view: QueueView, now: Milliseconds): Milliseconds {
    const { limit, running, ahead, urgency, floor } = view;
    const needed = ahead + 1 + running - limit;
    if (needed <= 0) {
      return 0;
    }
    const rate = this.computeRate(limit, now);
    const urgentRate = this.started
      .slice(0, urgency)
      .reduce((sum, each) => sum + each.computeRate(now), 0);
    return needed / Math.max(rate - urgentRate, rate * floor);
  }
}
