/**
 * Decides whether a gateway's copy of the keys is recent enough to rely on.
 *
 * The monotonic clock stops while a VM is suspended and the wall clock may jump,
 * so the larger of the two ages counts.
 */
import type { Milliseconds } from '@lycheetally/common';

/** A point in time on the monotonic clock and on the wall clock. */
export interface Moment {
  readonly monotonic: Milliseconds;
  readonly wallClock: Milliseconds;
}

/** Returns the age of the earlier moment in milliseconds. */
export const computeAge = (earlier: Moment, now: Moment): Milliseconds =>
  Math.max(
    now.monotonic - earlier.monotonic,
    now.wallClock - earlier.wallClock,
  );

/** Share of the timeout within which the keys may be used; the rest is left for the request to reach its server. */
const usableTimeoutShare = 0.75;

/** Says whether keys that were last confirmed at `confirmedAt` may be used, given the time after which a revoked key must fail. */
export const isFreshEnough = (
  confirmedAt: Moment | undefined,
  now: Moment,
  revokeTimeoutMs: Milliseconds,
): boolean =>
  confirmedAt !== undefined &&
  computeAge(confirmedAt, now) <= revokeTimeoutMs * usableTimeoutShare;
