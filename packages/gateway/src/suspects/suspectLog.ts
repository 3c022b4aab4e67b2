/** Logs changes of belief about suspects, with a limit on the lines of each message in a period, so that many bystanders of a crash hide no verdict. */
import type { ComponentLogger } from '@lycheetally/common';
import { maxSuspectLogLines, suspectLogWindowMs } from '../constants.js';
import { LimitedLog } from '../limitedLog.js';

export class SuspectLog extends LimitedLog {
  constructor(log: ComponentLogger) {
    super(log, { maxLines: maxSuspectLogLines, windowMs: suspectLogWindowMs });
  }
}
