/**
 * Results of functions that may fail.
 *
 * `ts-results` is CommonJS, so its default import is unpacked here once.
 */
import tsResults, { type Result as TsResult } from 'ts-results';
import type { TypedError } from './errors.js';

export const { Ok, Err } = tsResults;

/** A value or a typed error. */
export type Result<T, E = TypedError> = TsResult<T, E>;

/** Returns the value of a result or throws its error. For startup code and commands. */
export const getOrThrow = <T>(result: Result<T>): T => {
  if (result.err) {
    throw result.val;
  }
  return result.val;
};
