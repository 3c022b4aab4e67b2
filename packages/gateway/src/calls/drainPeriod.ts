/**
 * The time between the stop signal and the drain timeout of a gateway. The rest of
 * the platform's grace period is reserved for the exit of the process: answers that
 * are made at the drain timeout must reach their callers. A stream that has begun gets
 * no such answer, so it goes on for a part of that time.
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  lastAnswersShare,
  lastStreamsShare,
  maxExitReserveMs,
  maxExitReserveShare,
} from '../constants.js';

export class DrainPeriod {
  private begunAt: Milliseconds = Infinity;
  private endsAt: Milliseconds = Infinity;
  private exitReserveMs: Milliseconds = 0;

  /** Whether the stop was requested. */
  get hasBegun(): boolean {
    return this.begunAt < Infinity;
  }

  /** When calls without a response are cancelled; infinite before the stop signal. */
  get timeoutAt(): Milliseconds {
    return this.endsAt;
  }

  /** Until when streams that have begun go on after the drain timeout. */
  get lastStreamsAt(): Milliseconds {
    return this.endsAt + this.exitReserveMs * lastStreamsShare;
  }

  /** When the last answers must have reached their callers. */
  get exitAt(): Milliseconds {
    return this.endsAt + this.exitReserveMs * lastAnswersShare;
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
