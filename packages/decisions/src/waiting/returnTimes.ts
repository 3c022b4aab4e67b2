/**
 * When refused calls are told to come back.
 *
 * Each rank has a next free time to return, which advances by the time between two of its places:
 * callers come back at the rate at which places come, and not before the forecast of their own.
 * A call that comes back as told keeps the age of its first try; one that comes early is told
 * the rest of its time again, and reserves no other one.
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  maxRefusedCalls,
  maxReturnMs,
  maxReturnShare,
  minReturnMs,
  rankReturnShare,
  returnJitter,
} from './constants.js';
import type { WaitingCall } from './waitingCall.js';

export interface ReturnRequest {
  readonly call: WaitingCall;
  /** Until a place comes for the call, as forecast. */
  readonly waitMs: Milliseconds;
  /** Time between two places of the service. */
  readonly placeMs: Milliseconds;
  /** From 0 to 1. */
  readonly random: number;
}

/** What is remembered of a refused call, by what identifies the same request. */
export interface RefusedCall {
  readonly refusals: number;
  /** When it was told to return. */
  readonly toldAt: Milliseconds;
  /** When it was refused first. */
  readonly firstRefusedAt: Milliseconds;
}

export class ReturnTimes {
  private readonly nextAt: Milliseconds[] = [];
  private readonly refused = new Map<string, RefusedCall>();

  get hasRefused(): boolean {
    return this.refused.size > 0;
  }

  /** Returns after which time the call shall come back. */
  reserve(request: ReturnRequest, now: Milliseconds): Milliseconds {
    const { call, waitMs, placeMs, random } = request;
    if (call.toldAt !== undefined && call.toldAt > now) {
      return trimReturn(call, call.toldAt - now, now);
    }
    const { urgency } = call;
    const from = Math.max(now, this.nextAt[urgency] ?? -Infinity);
    // Beyond the longest time all reservations would be the same.
    this.nextAt[urgency] = Math.min(from + placeMs, now + maxReturnMs);
    const spread = 1 + returnJitter * (2 * random - 1);
    const aheadMs = Math.max(0, waitMs - (call.targetAt - call.arrivedAt) / 2);
    const laterMs = 1 + rankReturnShare * urgency;
    return trimReturn(
      call,
      Math.max(minReturnMs, aheadMs + from - now) * laterMs * spread,
      now,
    );
  }

  noteRefused(
    id: string,
    call: WaitingCall,
    toldAt: Milliseconds,
    now: Milliseconds,
  ): void {
    const known = this.refused.get(id);
    this.refused.delete(id);
    this.refused.set(id, {
      refusals: call.refusals + 1,
      toldAt,
      firstRefusedAt: known?.firstRefusedAt ?? now,
    });
    const [oldest] = this.refused.keys();
    if (this.refused.size > maxRefusedCalls && oldest !== undefined) {
      this.refused.delete(oldest);
    }
  }

  find(id: string): RefusedCall | undefined {
    return this.refused.get(id);
  }

  drop(id: string): void {
    this.refused.delete(id);
  }
}

/** Keeps a time to return within its bounds and the patience of the caller. */
const trimReturn = (
  call: WaitingCall,
  returnMs: Milliseconds,
  now: Milliseconds,
): Milliseconds => {
  const leftMs = Math.max(0, call.deadlineAt - now);
  return Math.min(
    Math.max(returnMs, minReturnMs),
    maxReturnMs,
    leftMs * maxReturnShare,
  );
};
