/**
 * Keeps the queue of one service: grants places to waiting calls when a run ends, the limit
 * rises or servers change, and refuses those that no longer gain by waiting. One timer runs, for
 * the earliest decision due, and only while calls wait.
 */
import type { ChartTimers } from '@lycheetally/charts';
import type { Disposable, Milliseconds } from '@lycheetally/common';
import type { CallQueue, Refusal, RunEnd } from '@lycheetally/decisions';
import type { CallPlace } from './callPlace.js';

export interface ServiceQueueServices {
  readonly timers: ChartTimers;
  postCompletion(run: (now: Milliseconds) => void): void;
  observeWait(waitMs: Milliseconds): void;
  countRefusal(refusal: Refusal): void;
}

export class ServiceQueue implements Disposable {
  private readonly waiting = new Map<string, CallPlace>();
  private timer: Disposable | undefined;
  private timerAt: Milliseconds = Infinity;

  constructor(
    readonly calls: CallQueue,
    private readonly services: ServiceQueueServices,
  ) {}

  add(place: CallPlace, now: Milliseconds): void {
    this.waiting.set(place.id, place);
    this.scheduleNext(now);
  }

  noteWaited(waitMs: Milliseconds): void {
    this.services.observeWait(waitMs);
  }

  noteRefused(refusal: Refusal): void {
    this.services.countRefusal(refusal);
  }

  end(id: string, end: RunEnd, now: Milliseconds): void {
    this.waiting.delete(id);
    this.calls.remove(id, end, now);
    this.advance(now);
  }

  noteServersChanged(now: Milliseconds): void {
    this.calls.noteServersChanged();
    this.advance(now);
  }

  /** Grants and refuses what is due. */
  advance(now: Milliseconds): void {
    if (this.waiting.size === 0) {
      return;
    }
    for (
      let call = this.calls.takeNext(now);
      call;
      call = this.calls.takeNext(now)
    ) {
      const place = this.takeWaiting(call.id);
      place?.noteGranted(now);
      this.services.postCompletion(at => {
        place?.listener.handleGranted(at);
      });
    }
    for (const { call, refusal } of this.calls.takeRefused(now)) {
      const place = this.takeWaiting(call.id);
      place?.noteRefused(call, refusal, now);
      this.services.postCompletion(at => {
        place?.listener.handleRefused(refusal, at);
      });
    }
    this.scheduleNext(now);
  }

  dispose(): void {
    this.timer?.dispose();
  }

  private takeWaiting(id: string): CallPlace | undefined {
    const place = this.waiting.get(id);
    this.waiting.delete(id);
    return place;
  }

  /** An earlier timer that is no longer needed only finds nothing due. */
  private scheduleNext(now: Milliseconds): void {
    const dueAt = this.calls.findNextDue(now);
    if (dueAt === undefined || this.timerAt <= dueAt) {
      return;
    }
    this.timer?.dispose();
    this.timerAt = dueAt;
    this.timer = this.services.timers.schedule(dueAt - now, at => {
      this.timerAt = Infinity;
      // The end of a refusal or of a suspension is no event, so that chains are tried again here.
      this.calls.checkChains();
      this.advance(at);
    });
  }
}
