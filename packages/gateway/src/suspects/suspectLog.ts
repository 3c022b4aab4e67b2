/** Logs changes of belief about suspects, with a limit on the lines of each message in a period, so that many bystanders of a crash hide no verdict. */
import type {
  ComponentLogger,
  LogFields,
  Milliseconds,
} from '@lycheetally/common';
import { maxSuspectLogLines, suspectLogWindowMs } from '../constants.js';

export class SuspectLog {
  private windowStart: Milliseconds = -Infinity;
  private readonly lines = new Map<string, number>();

  constructor(private readonly log: ComponentLogger) {}

  write(message: string, fields: LogFields, now: Milliseconds): void {
    if (now - this.windowStart >= suspectLogWindowMs) {
      this.windowStart = now;
      this.lines.clear();
    }
    const lines = (this.lines.get(message) ?? 0) + 1;
    this.lines.set(message, lines);
    if (lines <= maxSuspectLogLines) {
      this.log.warn(message, fields);
    }
  }
}
