/** One request of a load run, from its plan to its end. */
import type { LoadAnswer } from './loadCaller.js';

export interface LoadSample extends LoadAnswer {
  readonly callerRequestId: string;
  readonly account: string;
  readonly rank: string;
  readonly service: string;
  readonly phase: string;
  /** Milliseconds after the start at which it was to be sent. */
  readonly plannedMs: number;
  /** Milliseconds between plan and sending. */
  readonly lateMs: number;
  /** Milliseconds from the plan to the first token; absent without one. */
  readonly firstTokenMs: number | undefined;
  /** Milliseconds from the plan to the end. */
  readonly totalMs: number;
}
