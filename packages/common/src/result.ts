/**
 * Results of functions that can fail in an expected way.
 *
 * `ts-results` is CommonJS, so it is imported once here and re-exported.
 */
import tsResults, { type Result as TsResult } from 'ts-results';
import type { TypedError } from './errors.js';

export const { Ok, Err } = tsResults;

/** A value, or a typed error that says why there is none. */
export type Result<T, E = TypedError> = TsResult<T, E>;

/** Returns the value of a result, or throws its error to the start of the process. */
export const takeValue = <T>(result: Result<T>): T => {
  if (result.err) {
    throw result.val;
  }
  return result.val;
};
