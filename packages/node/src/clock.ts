/** Clocks and timers; tests replace them to control time. */
import type { Disposable, Milliseconds } from '@lycheetally/common';

/** A source of time and timers. */
export abstract class Clock {
  /** Returns the milliseconds since the Unix epoch. */
  abstract getNow(): Milliseconds;
  /** Returns the milliseconds that the process has waited for I/O and timers since its start. */
  abstract getIdleTime(): Milliseconds;
  /** Runs the callback once after the delay. */
  abstract schedule(delay: Milliseconds, callback: () => void): Disposable;
  /** Runs the callback after I/O that is ready now. */
  abstract defer(callback: () => void): void;
}

/** The longest delay that a Node timer supports; a longer one fires after 1 ms. */
const maxTimerDelayMs = 2 ** 31 - 1;

/** The VM's wall clock, which may jump. */
export class SystemClock extends Clock {
  override getNow(): Milliseconds {
    return Date.now();
  }

  override getIdleTime(): Milliseconds {
    return performance.eventLoopUtilization().idle;
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    const bounded = Math.min(Math.max(0, delay), maxTimerDelayMs);
    const timer = setTimeout(callback, bounded);
    return {
      dispose: () => {
        clearTimeout(timer);
      },
    };
  }

  override defer(callback: () => void): void {
    setImmediate(callback);
  }
}

interface ManualTimer {
  readonly dueAt: Milliseconds;
  readonly order: number;
  readonly callback: () => void;
}

/** The VM's monotonic clock, aligned to the Unix epoch at the start of the process. */
export class MonotonicClock extends SystemClock {
  override getNow(): Milliseconds {
    return performance.timeOrigin + performance.now();
  }
}

/** A clock for tests that only `advance` and `advanceBusy` move. */
export class ManualClock extends Clock {
  private timers: ManualTimer[] = [];
  private deferred: (() => void)[] = [];
  private order = 0;
  private idleTime = 0;

  constructor(private now: Milliseconds = 0) {
    super();
  }

  override getNow(): Milliseconds {
    return this.now;
  }

  override getIdleTime(): Milliseconds {
    return this.idleTime;
  }

  override schedule(delay: Milliseconds, callback: () => void): Disposable {
    this.order += 1;
    const timer = {
      dueAt: this.now + Math.max(0, delay),
      order: this.order,
      callback,
    };
    this.timers.push(timer);
    return {
      dispose: () => {
        this.timers = this.timers.filter(each => each !== timer);
      },
    };
  }

  override defer(callback: () => void): void {
    this.deferred.push(callback);
  }

  /** Moves the time as a callback does that works for so long. */
  advanceBusy(duration: Milliseconds): void {
    this.now += duration;
  }

  /** Runs the callbacks that are deferred now, as one iteration of Node's loop does. */
  runIteration(): void {
    const callbacks = this.deferred;
    this.deferred = [];
    for (const callback of callbacks) {
      callback();
    }
  }

  /** Runs the timers that are due now, without what they defer. */
  runTimers(): void {
    for (
      let timer = this.takeDueTimer(this.now);
      timer;
      timer = this.takeDueTimer(this.now)
    ) {
      timer.callback();
    }
  }

  /** Runs all deferred callbacks, including those that they defer. */
  runDeferred(): void {
    for (let next = this.deferred.shift(); next; next = this.deferred.shift()) {
      next();
    }
  }

  /** Advances the time, running each timer at the time it is due. */
  advance(duration: Milliseconds): void {
    const end = this.now + duration;
    this.runDeferred();
    for (
      let timer = this.takeDueTimer(end);
      timer;
      timer = this.takeDueTimer(end)
    ) {
      this.waitUntil(timer.dueAt);
      timer.callback();
      this.runDeferred();
    }
    this.waitUntil(end);
  }

  private waitUntil(time: Milliseconds): void {
    const duration = Math.max(0, time - this.now);
    this.now += duration;
    this.idleTime += duration;
  }

  private takeDueTimer(end: Milliseconds): ManualTimer | undefined {
    const due = this.timers
      .filter(timer => timer.dueAt <= end)
      .sort((a, b) => a.dueAt - b.dueAt || a.order - b.order)[0];
    this.timers = this.timers.filter(timer => timer !== due);
    return due;
  }
}
