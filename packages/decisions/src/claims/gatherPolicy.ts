/** Decides how many records share an append, and when it leaves. */
import type { Milliseconds } from '@lycheetally/common';

/** What a decision knows of the records that wait for an append. */
export interface GatherView {
  readonly waiting: number;
  /** When the last append left. */
  readonly lastAppendAt: Milliseconds;
}

/** A rule for appends; at most one is on its way for each stream. */
export abstract class GatherPolicy {
  /** Returns the milliseconds until the next append may leave; 0 for now. */
  abstract computeWait(view: GatherView, now: Milliseconds): Milliseconds;
  /** Returns how many of the waiting records leave together. */
  abstract countBatch(view: GatherView): number;
}

/**
 * Sends at once when the log is idle; while it is busy, records gather until
 * the earlier append is answered and the least gap has passed.
 */
export class GroupCommit extends GatherPolicy {
  constructor(
    private readonly maxBatch: number,
    /** The least time between appends of one stream, in milliseconds. */
    private readonly minGapMs: Milliseconds,
  ) {
    super();
  }

  override computeWait(view: GatherView, now: Milliseconds): Milliseconds {
    return Math.max(0, view.lastAppendAt + this.minGapMs - now);
  }

  override countBatch(view: GatherView): number {
    return Math.min(view.waiting, this.maxBatch);
  }
}

/** Gives each record an append of its own. */
export class SingleCommit extends GatherPolicy {
  override computeWait(): Milliseconds {
    return 0;
  }

  override countBatch(view: GatherView): number {
    return Math.min(view.waiting, 1);
  }
}
