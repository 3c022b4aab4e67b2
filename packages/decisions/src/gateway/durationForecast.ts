/**
 * Forecasts how long a call takes, to decide whether it ends before a given time.
 *
 * Load pattern: a gateway is stopped while callers send long streams and short calls.
 * What is still open at its drain timeout is cut, so a call is taken only if it ends
 * before; a refused call goes to another gateway.
 */
import type { Milliseconds } from '@lycheetally/common';

/** A call as the forecast sees it. */
export interface ForecastCall {
  /** Calls of the same kind take similar times. */
  readonly kind: string;
  /** The length that is expected of the response, in any unit; 1 if nothing is known of it. */
  readonly expectedSize: number;
  /** When the call ends at the latest. */
  readonly deadlineAt: Milliseconds;
}

/** What is expected of a call. */
export interface DurationEstimate {
  /** How long the call takes if it is as slow as any recent one; until its deadline if that is not known. */
  readonly slowestMs: Milliseconds;
  /** Share of such calls that is known to end in time, from 0 to 1. */
  readonly share: number;
  /** Calls that ended among those that the estimate is taken from. */
  readonly samples: number;
}

/** Ends the observation of an open call. */
export type NoteEnd = (isComplete: boolean, now: Milliseconds) => void;

export abstract class DurationForecast {
  /** Notes that a call was opened. Returns what notes its end: with a full answer, or given up. */
  abstract noteOpened(call: ForecastCall, now: Milliseconds): NoteEnd;

  /** Estimates how a call that starts now relates to that time. */
  abstract estimateBy(
    call: ForecastCall,
    endsAt: Milliseconds,
    now: Milliseconds,
  ): DurationEstimate;
}

/** Baseline: a call takes until its deadline. */
export class DeadlineForecast extends DurationForecast {
  override noteOpened(): NoteEnd {
    return () => {
      // The deadline does not depend on other calls.
    };
  }

  override estimateBy(
    { deadlineAt }: ForecastCall,
    endsAt: Milliseconds,
    now: Milliseconds,
  ): DurationEstimate {
    return {
      slowestMs: Math.max(0, deadlineAt - now),
      share: deadlineAt <= endsAt ? 1 : 0,
      samples: 0,
    };
  }
}
