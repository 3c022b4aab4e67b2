/**
 * What decisions about scarce room know of a call: those that order calls, forecast when room
 * comes, and choose which call gives way. It names neither connections nor attempts, so that
 * another front end can describe its calls in the same way.
 */
import type { Milliseconds } from '@lycheetally/common';

export interface WaitingCall {
  /** Unique among the calls of a gateway. */
  readonly id: string;
  readonly service: string;
  /** Rank of the call; 0 is the most urgent. */
  readonly urgency: number;
  /** Client account; empty without one. */
  readonly account: string;
  /** Route of the call, which stands for its kind. */
  readonly kind: string;
  /** When the gateway can have received it at the earliest. */
  readonly arrivedAt: Milliseconds;
  /** Until when its answer, or the first event of its stream, is on time. */
  readonly targetAt: Milliseconds;
  /** When its caller or its route gives up. */
  readonly deadlineAt: Milliseconds;
  /** Tokens that it is expected to need, of its prompt and its answer; 1 for a call of a plain service. */
  readonly expectedTokens: number;
  /** Tokens, or runs of a plain service, that were already spent on it. */
  readonly spentTokens: number;
  /** Whether events of its stream have reached the caller, so that it must not be given up for a new call. */
  readonly isUnderWay: boolean;
  /** How often the same request was refused here before it came back. */
  readonly refusals: number;
  /** When it was told to come back, if it was refused before. */
  readonly toldAt: Milliseconds | undefined;
}
