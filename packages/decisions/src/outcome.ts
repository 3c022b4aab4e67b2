/** The four outcomes of a request, as reported to the client. */
import type { ValueOf } from '@lycheetally/common';

export const Outcome = {
  /** The complete response was delivered to the client. */
  Complete: 'complete',
  /** The request was not run and never will be. */
  NotRun: 'not-run',
  /** The request ran and failed with a known error. */
  Failed: 'failed',
  /** It is unknown whether the request ran. */
  Unknown: 'unknown',
} as const;
export type Outcome = ValueOf<typeof Outcome>;

/**
 * Derives the outcome of a request from the outcomes of its attempts, none of
 * which completed. The request counts as not run only if none of them ran.
 */
export const decideOutcome = (attempts: readonly Outcome[]): Outcome => {
  if (attempts.includes(Outcome.Unknown)) {
    return Outcome.Unknown;
  }
  const hasRun = attempts.some(outcome => outcome !== Outcome.NotRun);
  return hasRun ? Outcome.Failed : Outcome.NotRun;
};
