/** Decides whether an agent takes work into its queue. */
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

/** A refusal with the time after which a repeat may succeed. */
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

/** A rule that bounds the queue of an agent. */
export abstract class QueueBound {
  /** Fails with the error that the entry is told. */
  abstract decideEnqueue(
    work: WaitingWork,
    queue: QueueDelayModel,
    now: Milliseconds,
  ): Result<true>;
}

/** Takes all work. */
export class OpenQueueBound extends QueueBound {
  override decideEnqueue(): Result<true> {
    return Ok(true);
  }
}

/** Settings of `DelayQueueBound`. */
export interface DelayQueueBoundSettings {
  /** The longest expected wait of each rank, by urgency, in milliseconds. */
  readonly maxWaitMs: readonly Milliseconds[];
  /** The most waiting pieces of work of one rank. */
  readonly maxWaiting: number;
}

/** Refuses work whose expected wait exceeds the bound of its rank or its deadline. */
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
    const boundMs = maxWaitMs[work.urgency] ?? maxWaitMs.at(-1) ?? 0;
    const leftMs = Math.min(boundMs, work.deadlineAt - now);
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

/** The shortest time that a refused sender is told to wait, in milliseconds. */
export const minRetryAfterMs = 100;
