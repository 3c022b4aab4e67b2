/** Whether a gateway that has started knows what the others suspect; context of the chart `suspectLearning`. */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type {
  ComponentLogger,
  Disposable,
  Milliseconds,
  Result,
} from '@lycheetally/common';
import { suspectLearningLimitMs } from './exchangeConstants.js';

interface LearningEvent {
  readonly type: 'INFORMED';
}

export type SuspectLearningMachine = ChartMachine<
  SuspectLearning,
  LearningEvent
>;

export class SuspectLearning implements Disposable {
  /** Questions to other gateways that are not answered yet. */
  private openQuestions = 0;
  private startedAt: Milliseconds = 0;
  private readonly chart: ChartInstance<SuspectLearning, LearningEvent>;

  constructor(
    machine: SuspectLearningMachine,
    timers: ChartTimers,
    private readonly log: ComponentLogger,
  ) {
    this.chart = machine.createInstance(this, timers);
  }

  get isLearning(): boolean {
    return !this.chart.matches('informed');
  }

  start(now: Milliseconds): void {
    this.startedAt = now;
    this.chart.start(now);
  }

  /** Records how many other gateways were asked; if there are none, there is nothing to learn. */
  noteAsked(questions: number, now: Milliseconds): void {
    this.openQuestions += questions;
    this.updateInformed(now);
  }

  /** Records an answer, or that there is none; the last one ends the wait, and so does one of a gateway that is not learning itself. */
  noteAnswered(isInformed: boolean, now: Milliseconds): void {
    this.openQuestions -= 1;
    if (isInformed) {
      this.openQuestions = 0;
    }
    this.updateInformed(now);
  }

  /** Action of the chart. */
  noteInformed(now: Milliseconds): void {
    this.log.info('This gateway no longer waits for what others suspect.', {
      waitedMs: Math.round(now - this.startedAt),
      unanswered: Math.max(0, this.openQuestions),
    });
  }

  dispose(): void {
    this.chart.dispose();
  }

  private updateInformed(now: Milliseconds): void {
    if (this.isLearning && this.openQuestions <= 0) {
      this.chart.send({ type: 'INFORMED' }, now);
    }
  }
}

/** Binds the chart `suspectLearning`. Fails with `BadChart`. */
export const bindLearningChart = (): Result<SuspectLearningMachine> =>
  bindChart<SuspectLearning, LearningEvent>(ChartName.SuspectLearning, {
    actions: {
      noteInformed: (learning, _, now) => {
        learning.noteInformed(now);
      },
    },
    guards: {},
    delays: { LEARNING_LIMIT: () => suspectLearningLimitMs },
  });
