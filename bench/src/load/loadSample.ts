/** One request of a load run, with its plan and its result. */
import type { LoadAnswer } from './loadCaller.js';

export interface LoadSample extends LoadAnswer {
  readonly callerRequestId: string;
  readonly account: string;
  readonly rank: string;
  readonly service: string;
  readonly phase: string;
  /** Planned send time, in milliseconds after the start. */
  readonly plannedMs: number;
  /** Milliseconds between the planned and the actual send. */
  readonly lateMs: number;
  /** Milliseconds from the planned send to the first token, if there was one. */
  readonly firstTokenMs: number | undefined;
  /** Milliseconds from the planned send to the end of the response. */
  readonly totalMs: number;
}
