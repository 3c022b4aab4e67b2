/**
 * How many calls of a service a gateway runs at once.
 *
 * A limit is told of each run and of what the run sends; it says how many may run. It never ends
 * a run: a lower limit only holds back what has not started.
 */
import type { Milliseconds, ValueOf } from '@lycheetally/common';

/** What a run must keep to be on time. */
export interface RunTargets {
  /** From the start of the run to its first event, or its answer. */
  readonly firstMs: Milliseconds;
  /** Between two events of a stream. */
  readonly pauseMs: Milliseconds | undefined;
}

/** How a run ended. */
export const RunEnd = {
  Complete: 'complete',
  /** Ended for reasons that say nothing of the servers, such as the departure of its caller. */
  Cancelled: 'cancelled',
  /** A server refused it, it broke, or it ended at its deadline. */
  Failed: 'failed',
} as const;
export type RunEnd = ValueOf<typeof RunEnd>;

export abstract class ConcurrencyLimit {
  /** The number of calls that may run at once. */
  abstract get value(): number;
  /** How close the runs are to being late; 1 is late. */
  abstract get pressure(): number;
  abstract noteStarted(
    id: string,
    targets: RunTargets,
    now: Milliseconds,
  ): void;
  abstract noteEvent(id: string, now: Milliseconds): void;
  /** Notes that the gateway stopped to read from the server, as the caller reads too slowly. */
  abstract notePaused(id: string): void;
  /** Notes that the run waits for a lost server of its chain, or broke with it, though its call goes on. */
  abstract noteServerLost(id: string): void;
  /** Notes that a server refused the run, though its call goes on. */
  abstract noteFailure(id: string, now: Milliseconds): void;
  abstract noteEnded(id: string, end: RunEnd, now: Milliseconds): void;
  /** Notes that a call was held back. */
  abstract noteHeld(): void;
  /** Notes whether the chain that was chosen for a call seems to have room. */
  abstract noteRoom(hasRoom: boolean): void;
  /** Ends the round of observations if it is over; returns whether the limit changed. */
  abstract advance(now: Milliseconds): boolean;
}

/** Admits all calls. */
export class UnlimitedConcurrency extends ConcurrencyLimit {
  readonly value = Infinity;
  readonly pressure = 0;

  override noteStarted(): void {
    return;
  }

  override noteEvent(): void {
    return;
  }

  override notePaused(): void {
    return;
  }

  override noteServerLost(): void {
    // Nothing is observed.
  }

  override noteFailure(): void {
    return;
  }

  override noteEnded(): void {
    return;
  }

  override noteHeld(): void {
    return;
  }

  override noteRoom(): void {
    return;
  }

  override advance(): boolean {
    return false;
  }
}
