/** Helpers of the checks: lists the guarantees that a call broke, and collects what belongs together. */
import type { GuaranteeViolation } from './types.js';

export const listViolations = (
  requestId: string,
  guarantees: Readonly<Record<string, boolean>>,
): GuaranteeViolation[] =>
  Object.entries(guarantees)
    .filter(([, isMet]) => !isMet)
    .map(([promise]) => ({ promise, requestId }));

/** Collects the items with the same key, in order. */
export const collectBy = <T>(
  items: readonly T[],
  getKey: (item: T) => string,
): ReadonlyMap<string, readonly T[]> => {
  const collected = new Map<string, T[]>();
  for (const item of items) {
    const others = collected.get(getKey(item)) ?? [];
    others.push(item);
    collected.set(getKey(item), others);
  }
  return collected;
};
