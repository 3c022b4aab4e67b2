/**
 * Says how old the knowledge of revoked keys is.
 *
 * The steady clock stands still while a machine is suspended and the time of
 * day may jump, so the larger of the two ages counts.
 */
import type { Milliseconds } from '@lycheetally/common';

/** A moment on both clocks. */
export interface Moment {
  readonly steady: Milliseconds;
  readonly timeOfDay: Milliseconds;
}

/** Returns the age of the earlier moment in milliseconds. */
export const computeAge = (earlier: Moment, now: Moment): Milliseconds =>
  Math.max(now.steady - earlier.steady, now.timeOfDay - earlier.timeOfDay);

/** Part of the bound within which knowledge may be used; the rest covers a request's way. */
const usableShare = 0.75;

/** Says whether keys may be checked against knowledge of this age. */
export const isFreshEnough = (
  provenAt: Moment | undefined,
  now: Moment,
  boundMs: Milliseconds,
): boolean =>
  provenAt !== undefined && computeAge(provenAt, now) <= boundMs * usableShare;
