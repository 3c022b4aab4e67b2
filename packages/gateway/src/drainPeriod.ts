/**
 * The time between the stop signal and the drain timeout of a gateway. The rest of
 * the platform's grace period is reserved for the exit of the process.
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  cancelShare,
  maxExitReserveMs,
  maxExitReserveShare,
} from './constants.js';

export class DrainPeriod {
  private begunAt: Milliseconds = Infinity;
  private endsAt: Milliseconds = Infinity;
  private exitReserveMs: Milliseconds = 0;

  /** Whether the stop was requested. */
  get hasBegun(): boolean {
    return this.begunAt < Infinity;
  }

  /** When open calls are cancelled; infinite before the stop signal. */
  get timeoutAt(): Milliseconds {
    return this.endsAt;
  }

  /** Time in which the responses of cancelled calls are sent after the drain timeout. */
  get cancelTimeoutMs(): Milliseconds {
    return this.exitReserveMs * cancelShare;
  }

  /** When the last answers must have reached their callers. */
  get exitAt(): Milliseconds {
    return this.endsAt + this.exitReserveMs * (1 - cancelShare);
  }

  begin(now: Milliseconds, graceMs: Milliseconds): void {
    this.exitReserveMs = Math.min(
      maxExitReserveMs,
      graceMs * maxExitReserveShare,
    );
    this.begunAt = now;
    this.endsAt = now + graceMs - this.exitReserveMs;
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
