/** Reports each change of a tracker's records, so that other gateways hear of it soon. */
import type { Milliseconds } from '@lycheetally/common';
import {
  PromptPartTracker,
  type BrokenServer,
  type PromptCall,
  type PromptDecision,
  type PromptPartRecord,
} from './promptPartTracker.js';

export class WatchedTracker extends PromptPartTracker {
  private reportedRevision: number;

  constructor(
    private readonly tracker: PromptPartTracker,
    private readonly handleChanged: (now: Milliseconds) => void,
  ) {
    super();
    this.reportedRevision = tracker.revision;
  }

  override get revision(): number {
    return this.tracker.revision;
  }

  override decideFirstAttempt(
    call: PromptCall,
    now: Milliseconds,
  ): PromptDecision {
    const decision = this.tracker.decideFirstAttempt(call, now);
    this.reportChange(now);
    return decision;
  }

  override decideRepeat(call: PromptCall, now: Milliseconds): PromptDecision {
    const decision = this.tracker.decideRepeat(call, now);
    this.reportChange(now);
    return decision;
  }

  override noteBroken(
    call: PromptCall,
    server: BrokenServer,
    now: Milliseconds,
  ): void {
    this.tracker.noteBroken(call, server, now);
    this.reportChange(now);
  }

  override noteServed(call: PromptCall, now: Milliseconds): void {
    this.tracker.noteServed(call, now);
    this.reportChange(now);
  }

  override listRecords(now: Milliseconds): readonly PromptPartRecord[] {
    return this.tracker.listRecords(now);
  }

  override mergeRecords(
    records: readonly PromptPartRecord[],
    now: Milliseconds,
  ): void {
    this.tracker.mergeRecords(records, now);
    this.reportChange(now);
  }

  private reportChange(now: Milliseconds): void {
    const { revision } = this.tracker;
    if (revision !== this.reportedRevision) {
      this.reportedRevision = revision;
      this.handleChanged(now);
    }
  }
}
