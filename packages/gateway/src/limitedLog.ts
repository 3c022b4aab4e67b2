/** A log with a limit on the lines of each message in a period, so that many alike hide no other. */
import type {
  ComponentLogger,
  LogFields,
  Milliseconds,
} from '@lycheetally/common';

/** Lines with one message at most in each window. */
export interface LogLimit {
  readonly maxLines: number;
  readonly windowMs: Milliseconds;
}

export class LimitedLog {
  private windowStart: Milliseconds = -Infinity;
  private readonly lines = new Map<string, number>();

  constructor(
    private readonly log: ComponentLogger,
    private readonly limit: LogLimit,
  ) {}

  write(message: string, fields: LogFields, now: Milliseconds): void {
    const { maxLines, windowMs } = this.limit;
    if (now - this.windowStart >= windowMs) {
      this.windowStart = now;
      this.lines.clear();
    }
    const lines = (this.lines.get(message) ?? 0) + 1;
    this.lines.set(message, lines);
    if (lines <= maxLines) {
      this.log.warn(message, fields);
    }
  }
}
