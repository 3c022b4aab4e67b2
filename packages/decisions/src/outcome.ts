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
 * Returns the outcome of a request that ends without an answer, from how its
 * attempts ended. One that is known to have run outweighs one that may have,
 * and only when none ran or may have run is the request not run.
 */
export const foldOutcomes = (ends: readonly Outcome[]): Outcome => {
  const ran = [Outcome.Failed, Outcome.Complete] as readonly Outcome[];
  if (ends.some(end => ran.includes(end))) {
    return Outcome.Failed;
  }
  return ends.includes(Outcome.Unknown) ? Outcome.Unknown : Outcome.NotRun;
};
