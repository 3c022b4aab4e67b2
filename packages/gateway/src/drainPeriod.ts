/** The time between the stop signal and the drain timeout of a gateway. */
import type { Milliseconds } from '@lycheetally/common';

export class DrainPeriod {
  private begunAt: Milliseconds = Infinity;
  private endsAt: Milliseconds = Infinity;

  /** Whether the stop was requested. */
  get hasBegun(): boolean {
    return this.begunAt < Infinity;
  }

  /** When open calls are cancelled; infinite before the stop signal. */
  get timeoutAt(): Milliseconds {
    return this.endsAt;
  }

  begin(now: Milliseconds, durationMs: Milliseconds): void {
    this.begunAt = now;
    this.endsAt = now + durationMs;
  }

  /** Ends it early: the gateway has drained, and its process ends. */
  end(now: Milliseconds): void {
    this.endsAt = Math.min(this.endsAt, now);
  }

  /** Returns how long after the stop signal that moment was; -1 if it was earlier or there was no signal. */
  measureSinceStop(at: Milliseconds): Milliseconds {
    return at < this.begunAt ? -1 : at - this.begunAt;
  }
}
