/** Decides whether another attempt may be made. */
import type { Milliseconds } from '@lycheetally/common';
import type { RequestView } from './types.js';

/** A rule for further attempts. */
export abstract class RetryPolicy {
  /** Says whether a request that was truthfully not run may be tried again. */
  abstract mayRetry(request: RequestView, now: Milliseconds): boolean;

  /** Says whether a request that may have run may be run again. */
  mayRepeat(request: RequestView, now: Milliseconds): boolean {
    return request.isRepeatable && this.mayRetry(request, now);
  }

  /** Notes a request that was admitted. */
  noteRequest(_request: RequestView, _now: Milliseconds): void {
    return;
  }

  /** Notes an attempt after the first. */
  noteRetry(_request: RequestView, _now: Milliseconds): void {
    return;
  }

  /** Returns the milliseconds to wait before the next attempt. */
  abstract computeDelay(request: RequestView): Milliseconds;
}

const maxAttempts = 4;
const firstDelayMs = 20;

/** Allows a fixed number of attempts before the deadline, with doubling delays. */
export class BoundedRetry extends RetryPolicy {
  override mayRetry(request: RequestView, now: Milliseconds): boolean {
    return (
      request.attempts < maxAttempts &&
      now + this.computeDelay(request) < request.deadlineAt
    );
  }

  override computeDelay(request: RequestView): Milliseconds {
    return firstDelayMs * 2 ** request.attempts;
  }
}
