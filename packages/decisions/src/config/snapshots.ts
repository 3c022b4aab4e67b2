/** Decides when a node appends a snapshot of the configuration. */
import { hashText, type Milliseconds } from '@lycheetally/common';

/** What a node knows about the snapshots in the stream. */
export interface SnapshotView {
  readonly nodeId: string;
  /** Records read since the last snapshot. */
  readonly recordsSince: number;
  /** Time at which the last snapshot was read, or at which the node started. */
  readonly lastAt: Milliseconds;
}

/** Strategy that decides when to append a snapshot. */
export abstract class SnapshotPolicy {
  abstract wantsSnapshot(view: SnapshotView, now: Milliseconds): boolean;
}

/** Never appends a snapshot; a baseline for comparison. */
export class NoSnapshots extends SnapshotPolicy {
  override wantsSnapshot(): boolean {
    return false;
  }
}

const jitterSteps = 1_024;

/**
 * Appends a snapshot after an interval or a number of records.
 *
 * Each node extends both limits by a jitter of up to half, derived from its id,
 * so that one node appends first and the others read its snapshot in time.
 */
export class JitteredSnapshots extends SnapshotPolicy {
  constructor(
    private readonly intervalMs: Milliseconds,
    private readonly maxRecords: number,
  ) {
    super();
  }

  override wantsSnapshot(view: SnapshotView, now: Milliseconds): boolean {
    if (view.recordsSince === 0) {
      return false;
    }
    const jitter = (hashText(view.nodeId) % jitterSteps) / jitterSteps;
    return (
      now - view.lastAt >= this.intervalMs * (1 + jitter / 2) ||
      view.recordsSince >= this.maxRecords * (1 + jitter / 2)
    );
  }
}
