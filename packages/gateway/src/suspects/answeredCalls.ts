/**
 * The whole calls of one service that were answered lately, in a bounded table.
 *
 * A request that is often repeated is at some server whenever one crashes. That it was
 * answered before tells it from one that crashes each server, so that it isn't kept from
 * the last server for one crash beside it.
 */
import { dropOldest, type Milliseconds } from '@lycheetally/common';
import {
  answeredLifetimeMs,
  maxAnsweredCalls,
  maxRememberedBodyBytes,
} from '../constants.js';
import type { CallIdentity } from './callIdentity.js';

export class AnsweredCalls {
  /** When each was last answered, oldest first. */
  private readonly times = new Map<string, Milliseconds>();

  /** Adds an answered call; the digest of a large body costs too much for each call. */
  add(identity: CallIdentity, now: Milliseconds): void {
    if (identity.bodyBytes > maxRememberedBodyBytes) {
      return;
    }
    this.times.delete(identity.id);
    this.times.set(identity.id, now);
    dropOldest(this.times, maxAnsweredCalls);
  }

  has(id: string, now: Milliseconds): boolean {
    return now - (this.times.get(id) ?? -Infinity) < answeredLifetimeMs;
  }
}
