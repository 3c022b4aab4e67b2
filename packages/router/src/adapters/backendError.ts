/** Tells a backend server that broke off a run from one that could not run it. */
import { ErrorKind } from '@lycheetally/common';

/** Codes of connections that the server closed after it had accepted them. */
const brokenCodes: readonly unknown[] = ['ECONNRESET', 'EPIPE'];

const isBrokenOff = (thrown: unknown): boolean =>
  thrown instanceof Error &&
  'code' in thrown &&
  brokenCodes.includes(thrown.code);

/** Returns the kind of the error of a run that ended with what was thrown. */
export const getFailureKind = (thrown: unknown): ErrorKind =>
  isBrokenOff(thrown) ? ErrorKind.BackendCrashed : ErrorKind.BackendFailed;
