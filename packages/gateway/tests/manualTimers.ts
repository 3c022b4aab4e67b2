/** Timers on a clock that a test advances. */
import { ChartTimers } from '@lycheetally/charts';

export class ManualTimers extends ChartTimers {
  now = 0;
  private timers: { at: number; run: (now: number) => void }[] = [];

  override schedule(
    delayMs: number,
    run: (now: number) => void,
  ): { dispose(): void } {
    const timer = { at: this.now + delayMs, run };
    this.timers.push(timer);
    return {
      dispose: () => {
        this.timers = this.timers.filter(each => each !== timer);
      },
    };
  }

  advance(durationMs: number): void {
    this.now += durationMs;
    const due = this.timers.filter(({ at }) => at <= this.now);
    this.timers = this.timers.filter(({ at }) => at > this.now);
    due.forEach(({ run }) => {
      run(this.now);
    });
  }
}
