/** Simulates callers that retry refused requests. */
import type { Milliseconds } from '@lycheetally/common';
import type { RequestRecord } from './tally.js';
import type { VirtualTime } from './virtualTime.js';

export interface CallerSettings {
  /** The most times that a caller sends a refused request again. */
  readonly repeats: number;
  /** Wait in milliseconds when the refusal names no time to retry after. */
  readonly repeatAfterMs: Milliseconds;
}

const noRepeats: CallerSettings = { repeats: 0, repeatAfterMs: 1_000 };

export class Callers {
  constructor(
    private readonly settings: CallerSettings = noRepeats,
    private readonly time: VirtualTime,
    private readonly send: (record: RequestRecord) => void,
  ) {}

  handleRefused(
    record: RequestRecord,
    retryAfterMs: Milliseconds | undefined,
    now: Milliseconds,
  ): void {
    const waitMs = retryAfterMs ?? this.settings.repeatAfterMs;
    const mayRepeat =
      record.repeats < this.settings.repeats &&
      now + waitMs < record.deadlineAt;
    if (!mayRepeat) {
      return;
    }
    record.repeats += 1;
    record.attempts = 0;
    record.avoided.length = 0;
    this.time.schedule(waitMs, () => {
      this.send(record);
    });
  }
}
