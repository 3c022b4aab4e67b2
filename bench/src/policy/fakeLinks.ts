/**
 * Links between failure domains: a delay, and a bandwidth that all traffic in one
 * direction shares. Traffic within a domain has the bandwidth to itself.
 */
import type { Milliseconds } from '@lycheetally/common';
import { getLink } from './fakeFleet.js';

export class FakeLinks {
  private readonly freeAtByLink = new Map<string, Milliseconds>();

  /** Sends the activations of some tokens; returns the milliseconds until they arrive. */
  send(
    from: string,
    to: string,
    tokens: number,
    now: Milliseconds,
  ): Milliseconds {
    const link = getLink(from, to);
    const key = `${from} > ${to}`;
    const startsAt = Math.max(now, this.freeAtByLink.get(key) ?? 0);
    const sentAt = startsAt + tokens * link.tokenMs;
    if (from !== to) {
      this.freeAtByLink.set(key, sentAt);
    }
    return sentAt - now + link.delayMs;
  }
}
