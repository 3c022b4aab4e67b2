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

type Task = (now: Milliseconds) => void;

interface QueuedTask {
  readonly kind: string;
  readonly run: Task;
}

export class EventLoop<Events extends object> extends ChartTimers {
  /** Emits after each turn, so that the messages of a turn can be sent in one batch. */
  readonly turnEnded = new Emitter<Milliseconds>();
  /** Emits when a handler throws; the loop continues with the next event. */
  readonly handlerFailed = new Emitter<HandlerError>();

  private handlers: EventHandlers<Events> | undefined;
  private queue: QueuedTask[] = [];
  private isScheduled = false;

  constructor(private readonly clock: Clock) {
    super();
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
    this.queue.push({ kind, run });
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
    for (const task of batch) {
      this.runTask(task);
    }
    this.turnEnded.emit(this.clock.getNow());
    if (this.queue.length > 0) {
      this.scheduleTurn();
    }
  }

  private runTask(task: QueuedTask): void {
    try {
      task.run(this.clock.getNow());
    } catch (thrown) {
      this.handlerFailed.emit({ kind: task.kind, thrown });
    }
  }
}
