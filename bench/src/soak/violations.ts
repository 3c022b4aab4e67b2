/** Lists the guarantees that a call broke. */
import type { GuaranteeViolation } from './types.js';

export const listViolations = (
  requestId: string,
  guarantees: Readonly<Record<string, boolean>>,
): GuaranteeViolation[] =>
  Object.entries(guarantees)
    .filter(([, isMet]) => !isMet)
    .map(([promise]) => ({ promise, requestId }));
