/** Run-time checks that narrow unknown values. */

export const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Returns the message of anything that was thrown. */
export const toMessage = (thrown: unknown): string =>
  thrown instanceof Error ? thrown.message : String(thrown);
