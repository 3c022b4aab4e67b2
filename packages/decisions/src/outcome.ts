/** The four outcomes of a request, and what each means to a caller. */
import type { ValueOf } from '@lycheetally/common';

export const Outcome = {
  /** The whole answer was delivered to the caller. */
  Complete: 'complete',
  /** The request was not run and never will be. */
  NotRun: 'not-run',
  /** The request ran and its error is known. */
  Failed: 'failed',
  /** The request may have run. */
  Unknown: 'unknown',
} as const;
export type Outcome = ValueOf<typeof Outcome>;
