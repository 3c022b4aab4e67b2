/**
 * The one loop of a process.
 *
 * Messages, timers and completions enter as typed events. The loop takes one
 * at a time and hands it to the handler of its kind, with the present time.
 */
import {
  Emitter,
  type Disposable,
  type Milliseconds,
} from '@lycheetally/common';
import { ChartTimers } from '@lycheetally/charts';
import type { Clock } from './clock.js';
import { maxEventsPerTurn } from './constants.js';

/** A handler for each kind of event. */
export type LoopHandlers<Events> = {
  readonly [K in keyof Events]: (payload: Events[K], now: Milliseconds) => void;
};

/** A handler that threw, and what it threw. */
export interface LoopFault {
  readonly kind: string;
  readonly thrown: unknown;
}

type Task = (now: Milliseconds) => void;

interface QueuedTask {
  readonly kind: string;
  readonly run: Task;
}

export class Loop<Events extends object> extends ChartTimers {
  /** Emits after each turn, when messages of the turn can leave together. */
  readonly turnEnded = new Emitter<Milliseconds>();
  /** Emits when a handler threw; the loop goes on. */
  readonly faulted = new Emitter<LoopFault>();

  private handlers: LoopHandlers<Events> | undefined;
  private queue: QueuedTask[] = [];
  private isScheduled = false;

  constructor(private readonly clock: Clock) {
    super();
  }

  /** Sets the handlers; events that were posted earlier wait for them. */
  setHandlers(handlers: LoopHandlers<Events>): void {
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
      this.faulted.emit({ kind: task.kind, thrown });
    }
  }
}
