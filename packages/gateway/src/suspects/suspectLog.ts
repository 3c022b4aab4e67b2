/** Logs changes of belief about parts of prompts, with a limit on the lines in each period. */
import type {
  ComponentLogger,
  LogFields,
  Milliseconds,
} from '@lycheetally/common';
import { maxSuspectLogLines, suspectLogWindowMs } from '../constants.js';

export class SuspectLog {
  private windowStart: Milliseconds = -Infinity;
  private lines = 0;

  constructor(private readonly log: ComponentLogger) {}

  write(message: string, fields: LogFields, now: Milliseconds): void {
    if (now - this.windowStart >= suspectLogWindowMs) {
      this.windowStart = now;
      this.lines = 0;
    }
    this.lines += 1;
    if (this.lines <= maxSuspectLogLines) {
      this.log.warn(message, fields);
    }
  }
}
