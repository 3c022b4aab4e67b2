/** Reports each change of a tracker's records, so that other gateways hear of it soon. */
import type { Milliseconds } from '@lycheetally/common';
import {
  SuspectTracker,
  type AnsweredAttempt,
  type BrokenAttempt,
  type Placement,
  type PlacementChoice,
  type TracedCall,
  type SuspectDecision,
  type ServerRun,
  type SuspectName,
  type SuspectRecord,
} from './suspectTracker.js';

export class WatchedTracker extends SuspectTracker {
  private reportedRevision: number;

  constructor(
    private readonly tracker: SuspectTracker,
    private readonly handleChanged: (now: Milliseconds) => void,
  ) {
    super();
    this.reportedRevision = tracker.revision;
  }

  override get revision(): number {
    return this.tracker.revision;
  }

  override decideFirstAttempt(
    call: TracedCall,
    now: Milliseconds,
  ): SuspectDecision {
    const decision = this.tracker.decideFirstAttempt(call, now);
    this.reportChange(now);
    return decision;
  }

  override decideDelayedAttempt(
    call: TracedCall,
    now: Milliseconds,
  ): SuspectDecision {
    const decision = this.tracker.decideDelayedAttempt(call, now);
    this.reportChange(now);
    return decision;
  }

  override decideRepeat(call: TracedCall, now: Milliseconds): SuspectDecision {
    const decision = this.tracker.decideRepeat(call, now);
    this.reportChange(now);
    return decision;
  }

  override mayRunTwice(call: TracedCall): boolean {
    return this.tracker.mayRunTwice(call);
  }

  override choosePlacement(
    call: TracedCall,
    choice: PlacementChoice,
    now: Milliseconds,
  ): Placement {
    return this.tracker.choosePlacement(call, choice, now);
  }

  override estimateHold(call: TracedCall, now: Milliseconds): Milliseconds {
    return this.tracker.estimateHold(call, now);
  }

  override noteBroken(
    call: TracedCall,
    attempt: BrokenAttempt,
    now: Milliseconds,
  ): void {
    this.tracker.noteBroken(call, attempt, now);
    this.reportChange(now);
  }

  override noteAccepting(service: string, run: ServerRun): void {
    this.tracker.noteAccepting(service, run);
  }

  override noteServed(
    call: TracedCall,
    now: Milliseconds,
    attempt?: AnsweredAttempt,
  ): void {
    this.tracker.noteServed(call, now, attempt);
    this.reportChange(now);
  }

  override listRecords(now: Milliseconds): readonly SuspectRecord[] {
    return this.tracker.listRecords(now);
  }

  override listRecordsOf(
    suspects: readonly SuspectName[],
    now: Milliseconds,
  ): readonly SuspectRecord[] {
    return this.tracker.listRecordsOf(suspects, now);
  }

  override hasRecords(now: Milliseconds): boolean {
    return this.tracker.hasRecords(now);
  }

  override mergeRecords(
    records: readonly SuspectRecord[],
    now: Milliseconds,
  ): void {
    this.tracker.mergeRecords(records, now);
    this.reportChange(now);
  }

  override clearSuspect(id: string, now: Milliseconds): boolean {
    const isKnown = this.tracker.clearSuspect(id, now);
    this.reportChange(now);
    return isKnown;
  }

  private reportChange(now: Milliseconds): void {
    const { revision } = this.tracker;
    if (revision !== this.reportedRevision) {
      this.reportedRevision = revision;
      this.handleChanged(now);
    }
  }
}
