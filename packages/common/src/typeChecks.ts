/** Type guards and conversions of unknown values. */

export const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Returns the message of an error, or any other thrown value as text. */
export const toMessage = (thrown: unknown): string =>
  thrown instanceof Error ? thrown.message : String(thrown);
