/** Decides when a node appends a snapshot of the configuration. */
import { hashText, type Milliseconds } from '@lycheetally/common';

/** What a node knows of the snapshots in the stream. */
export interface SnapshotView {
  readonly nodeId: string;
  /** Records read since the last snapshot. */
  readonly recordsSince: number;
  /** Time at which the last snapshot was seen, or of the node's start. */
  readonly lastAt: Milliseconds;
}

/** A rule for snapshots. */
export abstract class SnapshotPolicy {
  abstract wantsSnapshot(view: SnapshotView, now: Milliseconds): boolean;
}

/** Never appends one; a baseline. */
export class NoSnapshots extends SnapshotPolicy {
  override wantsSnapshot(): boolean {
    return false;
  }
}

const spreadSteps = 1_024;

/**
 * Appends one when the last is old or many records ago.
 *
 * Each node waits for a share of its own on top, so that one is first and the
 * others see its snapshot in time.
 */
export class SpreadSnapshots extends SnapshotPolicy {
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
    const share = (hashText(view.nodeId) % spreadSteps) / spreadSteps;
    return (
      now - view.lastAt >= this.intervalMs * (1 + share / 2) ||
      view.recordsSince >= this.maxRecords * (1 + share / 2)
    );
  }
}
