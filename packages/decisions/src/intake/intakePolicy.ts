/**
 * Decides how many requests a backend server may be sent, by what it says that it takes.
 *
 * Load pattern: a server in need names a limit, for all gateways together, in its
 * answers. Requests beyond it would be slow or refused there, while other servers or
 * other gateways' requests have room.
 */
import type { Milliseconds } from '@lycheetally/common';

/** Strategy that holds requests to a server back. */
export abstract class IntakePolicy {
  /** Applies the limit that the server names, in requests per second; `undefined` if it names none. */
  abstract setLimit(
    limitPerSecond: number | undefined,
    now: Milliseconds,
  ): void;
  /** Counts a request that is sent. */
  abstract noteSent(now: Milliseconds): void;
  /** Returns the time until a request may be sent; 0 if one may be sent now. */
  abstract estimateWait(now: Milliseconds): Milliseconds;
}

/** Baseline: no limit is known. */
export class UnlimitedIntake extends IntakePolicy {
  override setLimit(): void {
    // Every request may be sent.
  }

  override noteSent(): void {
    // Every request may be sent.
  }

  override estimateWait(): Milliseconds {
    return 0;
  }
}
