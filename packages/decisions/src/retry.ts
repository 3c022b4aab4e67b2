/** Decides whether and when a failed attempt is retried. */
import type { Milliseconds } from '@lycheetally/common';
import type { RequestView } from './types.js';

/** Limits the retries of requests. */
export abstract class RetryPolicy {
  /** Returns whether a request that is known not to have run may be retried. */
  abstract mayRetry(request: RequestView, now: Milliseconds): boolean;

  /** Returns whether a request that may already have run may be retried. */
  mayRepeat(request: RequestView, now: Milliseconds): boolean {
    return request.isRepeatable && this.mayRetry(request, now);
  }

  /** Returns the number of retries that may still be sent to the service. */
  countRemaining(_service: string, _now: Milliseconds): number {
    return Infinity;
  }

  /** Records an admitted request. */
  noteRequest(_request: RequestView, _now: Milliseconds): void {
    return;
  }

  /** Records an attempt after the first. */
  noteRetry(_request: RequestView, _now: Milliseconds): void {
    return;
  }

  /** Returns the milliseconds to wait before the next attempt. */
  abstract computeDelay(request: RequestView): Milliseconds;
}

const maxAttempts = 4;
const initialDelayMs = 20;

/** Allows a fixed number of attempts before the deadline, with exponential backoff. */
export class BoundedRetry extends RetryPolicy {
  override mayRetry(request: RequestView, now: Milliseconds): boolean {
    return (
      request.attempts < maxAttempts &&
      now + this.computeDelay(request) < request.deadlineAt
    );
  }

  override computeDelay(request: RequestView): Milliseconds {
    return initialDelayMs * 2 ** request.attempts;
  }
}
