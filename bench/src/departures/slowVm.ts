/** Lets a process run for a part of each tenth of a second, as on a VM with a share of a core. */
import type { Disposable } from '@lycheetally/common';

const sliceMs = 100;

export class SlowVm implements Disposable {
  private readonly timer: NodeJS.Timeout;
  private resumeTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly sendSignal: (signal: NodeJS.Signals) => void,
    /** Time that the process runs in each slice. */
    runMs: number,
  ) {
    this.timer = setInterval(() => {
      sendSignal('SIGSTOP');
      this.resumeTimer = setTimeout(() => {
        sendSignal('SIGCONT');
      }, sliceMs - runMs);
    }, sliceMs);
  }

  dispose(): void {
    clearInterval(this.timer);
    clearTimeout(this.resumeTimer);
    this.sendSignal('SIGCONT');
  }
}
