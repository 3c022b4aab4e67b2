/** Decides whether an agent accepts work into its queue. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import type { WaitingWork } from '../workOrder.js';
import type { QueueDelayModel } from './queueDelay.js';

/** A rejection that tells the sender when to retry. */
export class BusyError extends TypedError {
  constructor(
    fault: string,
    readonly retryAfterMs: Milliseconds,
  ) {
    const seconds = Math.ceil(retryAfterMs / 1_000);
    super(
      ErrorKind.NoCapacity,
      fault,
      `send the request again after ${String(seconds)} s`,
    );
  }
}

/** Bounds the queue of an agent. */
export abstract class QueueBound {
  /** Fails with the error to return to the entry. */
  abstract decideEnqueue(
    work: WaitingWork,
    queue: QueueDelayModel,
    now: Milliseconds,
  ): Result<true>;
}

/** Accepts all work. */
export class UnlimitedQueueBound extends QueueBound {
  override decideEnqueue(): Result<true> {
    return Ok(true);
  }
}

/** Settings of `DelayQueueBound`. */
export interface DelayQueueBoundSettings {
  /** Maximum expected wait of each rank, indexed by urgency, in milliseconds. */
  readonly maxWaitMs: readonly Milliseconds[];
  /** Maximum number of queued requests of one rank. */
  readonly maxWaiting: number;
}

/**
 * Rejects work when the queue of its rank is full, or when its expected wait
 * exceeds the bound of the rank or the deadline.
 */
export class DelayQueueBound extends QueueBound {
  constructor(private readonly settings: DelayQueueBoundSettings) {
    super();
  }

  override decideEnqueue(
    work: WaitingWork,
    queue: QueueDelayModel,
    now: Milliseconds,
  ): Result<true> {
    const { maxWaitMs, maxWaiting } = this.settings;
    const waitMs = queue.estimateAccountWait(work, now);
    const rankMaxWaitMs = maxWaitMs[work.urgency] ?? maxWaitMs.at(-1) ?? 0;
    const leftMs = Math.min(rankMaxWaitMs, work.deadlineAt - now);
    const isFull = queue.countWaiting(work.urgency) >= maxWaiting;
    if (waitMs <= leftMs && !isFull) {
      return Ok(true);
    }
    const fault = `the queue of rank "${work.rank}" is full`;
    return Err(
      new BusyError(fault, Math.max(minRetryAfterMs, waitMs - leftMs)),
    );
  }
}

/** Minimum retry delay in a rejection, in milliseconds. */
export const minRetryAfterMs = 100;
