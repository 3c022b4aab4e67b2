/** Decides how many records share an append, and when it is sent. */
import type { Milliseconds } from '@lycheetally/common';

/** State of the records that wait for an append. */
export interface AppendQueueState {
  readonly waiting: number;
  /** Time at which the last append was sent. */
  readonly lastAppendAt: Milliseconds;
}

/** Strategy for batching appends; each stream has at most one append in flight. */
export abstract class AppendBatchPolicy {
  /** Returns the milliseconds until the next append may be sent; 0 for now. */
  abstract computeWait(view: AppendQueueState, now: Milliseconds): Milliseconds;
  /** Returns how many of the waiting records are sent together. */
  abstract countBatch(view: AppendQueueState): number;
}

/**
 * Sends at once when no append is in flight; otherwise records are batched until
 * the earlier append is answered and the minimum gap has passed.
 */
export class GroupCommit extends AppendBatchPolicy {
  constructor(
    private readonly maxBatch: number,
    /** The minimum time between appends of one stream, in milliseconds. */
    private readonly minGapMs: Milliseconds,
  ) {
    super();
  }

  override computeWait(
    view: AppendQueueState,
    now: Milliseconds,
  ): Milliseconds {
    return Math.max(0, view.lastAppendAt + this.minGapMs - now);
  }

  override countBatch(view: AppendQueueState): number {
    return Math.min(view.waiting, this.maxBatch);
  }
}

/** Sends each record in an append of its own. */
export class SingleCommit extends AppendBatchPolicy {
  override computeWait(): Milliseconds {
    return 0;
  }

  override countBatch(view: AppendQueueState): number {
    return Math.min(view.waiting, 1);
  }
}
