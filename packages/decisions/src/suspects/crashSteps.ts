/** Counts how many separate events a list of crashes proves. */
import type { Milliseconds } from '@lycheetally/common';
import type { SuspectCrash } from './blamePolicy.js';

/** Crashes closer than this may have a common cause. */
export const crashMomentMs = 300;

/** Counts the moments of crashes that are sorted by time; a moment begins with a crash and lasts `momentMs`. */
export const countMoments = (
  crashes: readonly Pick<SuspectCrash, 'at'>[],
  momentMs: Milliseconds,
): number => {
  let moments = 0;
  let endsAt = -Infinity;
  for (const { at } of crashes) {
    if (at >= endsAt) {
      moments += 1;
      endsAt = at + momentMs;
    }
  }
  return moments;
};

/**
 * Counts the steps of crashes: in each, a server crashed that was sent the call
 * only after the crash of the step before. Servers that fail together are one
 * step, whatever they run.
 *
 * @param newsDelayMs How late the times that another gateway told may be.
 */
export const countSteps = (
  crashes: readonly Pick<SuspectCrash, 'at' | 'sentAt' | 'isOwn'>[],
  newsDelayMs: Milliseconds = maxNewsDelayMs,
): number => {
  let steps = 0;
  let endsAt = -Infinity;
  for (const crash of [...crashes].sort((a, b) => a.at - b.at)) {
    const beganAt = crash.sentAt - (crash.isOwn ? 0 : newsDelayMs);
    if (beganAt >= endsAt) {
      steps += 1;
      endsAt = crash.at;
    }
  }
  return steps;
};

/** Delay of a message between gateways, at most. */
export const maxNewsDelayMs = 500;
