/** Units and exit codes that all packages share. */

export const millisecondsPerSecond = 1_000;
export const bytesPerKibibyte = 1_024;
export const bytesPerMebibyte = bytesPerKibibyte ** 2;

/** Exit codes of the commands and daemons. */
export const ExitCode = {
  Ok: 0,
  Failure: 1,
  Usage: 2,
  /** An address was not free in time. */
  AddressHeld: 3,
  /** An error that no code caught; the log has it. */
  Unexpected: 70,
} as const;
