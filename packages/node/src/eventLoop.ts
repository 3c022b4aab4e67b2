/**
 * The event loop of a process.
 *
 * Messages, timers and completions are queued as typed events. The loop
 * dispatches them one at a time to the handler of their kind, with the
 * current time.
 */
import {
  Emitter,
  type Disposable,
  type Milliseconds,
} from '@lycheetally/common';
import { ChartTimers } from '@lycheetally/charts';
import { ArrivalWatch } from './arrivalWatch.js';
import type { Clock } from './clock.js';
import { maxEventsPerTurn } from './constants.js';

/** The handler of each kind of event. */
export type EventHandlers<Events> = {
  readonly [K in keyof Events]: (payload: Events[K], now: Milliseconds) => void;
};

/** An error that a handler threw. */
export interface HandlerError {
  readonly kind: string;
  readonly thrown: unknown;
}

/** What a turn of the loop took. */
export interface TurnMeasure {
  readonly durationMs: Milliseconds;
  /** Work between the turn before and this one, most of it reads. */
  readonly readMs: Milliseconds;
  readonly events: number;
  /** Events that wait for the next turn. */
  readonly waiting: number;
  /** Longest time that an event of this turn had waited. */
  readonly longestWaitMs: Milliseconds;
  /** The event that took longest. */
  readonly longestEventMs: Milliseconds;
  readonly longestKind: string;
}

type Task = (now: Milliseconds) => void;

interface QueuedTask {
  readonly kind: string;
  readonly queuedAt: Milliseconds;
  readonly run: Task;
}

export class EventLoop<Events extends object> extends ChartTimers {
  /** Emits after each turn, so that the messages of a turn can be sent in one batch. */
  readonly turnEnded = new Emitter<Milliseconds>();
  /** Emits what each turn took. */
  readonly turnMeasured = new Emitter<TurnMeasure>();
  /** Emits when a handler throws; the loop continues with the next event. */
  readonly handlerFailed = new Emitter<HandlerError>();

  private handlers: EventHandlers<Events> | undefined;
  private queue: QueuedTask[] = [];
  private isScheduled = false;
  private readonly arrivals: ArrivalWatch;
  private startedAt: Milliseconds;

  constructor(private readonly clock: Clock) {
    super();
    this.arrivals = new ArrivalWatch(clock);
    this.startedAt = clock.getNow();
  }

  /** When the turn began that runs now, or ran last; I/O was polled just before. */
  get turnStartedAt(): Milliseconds {
    return this.startedAt;
  }

  /** Returns the earliest time at which what is read now can have arrived. */
  estimateArrival(now: Milliseconds): Milliseconds {
    return this.arrivals.estimateArrival(now);
  }

  /** Sets the handlers. Call it before the first turn runs: without handlers, events are dropped. */
  setHandlers(handlers: EventHandlers<Events>): void {
    this.handlers = handlers;
  }

  /** Adds an event to the queue. */
  post<K extends keyof Events & string>(kind: K, payload: Events[K]): void {
    this.enqueue(kind, now => this.handlers?.[kind](payload, now));
  }

  override schedule(
    delay: Milliseconds,
    callback: (now: Milliseconds) => void,
  ): Disposable {
    let isActive = true;
    const timer = this.clock.schedule(delay, () => {
      this.enqueue('timer', now => {
        if (isActive) {
          callback(now);
        }
      });
    });
    return {
      dispose: () => {
        isActive = false;
        timer.dispose();
      },
    };
  }

  private enqueue(kind: string, run: Task): void {
    this.queue.push({ kind, queuedAt: this.clock.getNow(), run });
    this.scheduleTurn();
  }

  private scheduleTurn(): void {
    if (this.isScheduled) {
      return;
    }
    this.isScheduled = true;
    this.clock.defer(() => {
      this.runTurn();
    });
  }

  private runTurn(): void {
    this.isScheduled = false;
    const batch = this.queue.slice(0, maxEventsPerTurn);
    this.queue = this.queue.slice(maxEventsPerTurn);
    this.startedAt = this.clock.getNow();
    const readMs = this.arrivals.measureWork(this.startedAt);
    let now = this.startedAt;
    let longestWaitMs = 0;
    let longestEventMs = 0;
    let longestKind = '';
    for (const task of batch) {
      longestWaitMs = Math.max(longestWaitMs, now - task.queuedAt);
      const endedAt = this.runTask(task, now);
      if (endedAt - now > longestEventMs) {
        longestEventMs = endedAt - now;
        longestKind = task.kind;
      }
      now = endedAt;
    }
    this.arrivals.noteTurnEnd(now);
    this.turnEnded.emit(now);
    this.turnMeasured.emit({
      durationMs: now - this.startedAt,
      readMs,
      events: batch.length,
      waiting: this.queue.length,
      longestWaitMs,
      longestEventMs,
      longestKind,
    });
    if (this.queue.length > 0) {
      this.scheduleTurn();
    }
  }

  /** Returns when the task has ended. */
  private runTask(task: QueuedTask, now: Milliseconds): Milliseconds {
    try {
      task.run(now);
    } catch (thrown) {
      this.handlerFailed.emit({ kind: task.kind, thrown });
    }
    return this.clock.getNow();
  }
}
