/** Simulates callers that retry refused requests. */
import type { Milliseconds } from '@lycheetally/common';
import type { RequestRecord } from './runMetrics.js';
import type { VirtualTime } from './virtualTime.js';

export interface CallerSettings {
  /** The most times that a caller sends a refused request again. */
  readonly maxRetries: number;
  /** Wait in milliseconds when the refusal names no time to retry after. */
  readonly defaultRetryAfterMs: Milliseconds;
}

const noRetries: CallerSettings = { maxRetries: 0, defaultRetryAfterMs: 1_000 };

export class Callers {
  constructor(
    private readonly settings: CallerSettings = noRetries,
    private readonly time: VirtualTime,
    private readonly send: (record: RequestRecord) => void,
  ) {}

  handleRefused(
    record: RequestRecord,
    retryAfterMs: Milliseconds | undefined,
    now: Milliseconds,
  ): void {
    const waitMs = retryAfterMs ?? this.settings.defaultRetryAfterMs;
    const mayRetry =
      record.callerRetries < this.settings.maxRetries &&
      now + waitMs < record.deadlineAt;
    if (!mayRetry) {
      return;
    }
    record.callerRetries += 1;
    record.attempts = 0;
    record.avoided.length = 0;
    this.time.schedule(waitMs, () => {
      this.send(record);
    });
  }
}
