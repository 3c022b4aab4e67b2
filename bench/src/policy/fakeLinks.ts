/** Links between failure domains: a delay, and a speed that all traffic shares. */
import type { Milliseconds } from '@lycheetally/common';
import { getLink } from './fakeFleet.js';

export class FakeLinks {
  private readonly freeAt = new Map<string, Milliseconds>();

  /** Returns the milliseconds until the activations of so many tokens arrive. */
  send(
    from: string,
    to: string,
    tokens: number,
    now: Milliseconds,
  ): Milliseconds {
    const link = getLink(from, to);
    const key = `${from} > ${to}`;
    const startsAt = Math.max(now, this.freeAt.get(key) ?? 0);
    const sentAt = startsAt + tokens * link.tokenMs;
    if (from !== to) {
      this.freeAt.set(key, sentAt);
    }
    return sentAt - now + link.delayMs;
  }
}
