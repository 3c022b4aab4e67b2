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

/**
 * Decides the outcome of a request from the outcomes of its attempts, none of
 * which was complete: the request was not run only when no attempt was.
 */
export const decideOutcome = (attempts: readonly Outcome[]): Outcome => {
  if (attempts.includes(Outcome.Unknown)) {
    return Outcome.Unknown;
  }
  const hasRun = attempts.some(outcome => outcome !== Outcome.NotRun);
  return hasRun ? Outcome.Failed : Outcome.NotRun;
};
