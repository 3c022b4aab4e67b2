/** Units and limits that every package shares. */

export const millisecondsPerSecond = 1_000;
export const bytesPerKibibyte = 1_024;

/** Exit codes of every command and daemon. */
export const ExitCode = {
  Ok: 0,
  Failure: 1,
  Usage: 2,
} as const;
