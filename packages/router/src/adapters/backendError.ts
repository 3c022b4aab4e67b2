/** Tells a backend server that broke off a run from one that could not run it. */
import { ErrorKind, TypedError } from '@lycheetally/common';
import { isResetError } from '@lycheetally/node';

const isBrokenOff = (thrown: unknown): boolean =>
  thrown instanceof TypedError
    ? thrown.kind === ErrorKind.ConnectionLost
    : isResetError(thrown);

/** Returns the kind of the error of a run that ended with what was thrown. */
export const getFailureKind = (thrown: unknown): ErrorKind =>
  isBrokenOff(thrown) ? ErrorKind.BackendCrashed : ErrorKind.BackendFailed;
