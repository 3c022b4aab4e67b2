/** The exchange with one caller, independent of the front end's protocol. */
import type { TypedError } from '@lycheetally/common';
import type { Outcome } from '@lycheetally/decisions';
import type {
  ModelWork,
  PlainAnswer,
  PlainWork,
  Token,
} from '@lycheetally/protocol';

/** A call as a front end parsed it, before it is checked against the configuration. */
export interface CallerCall {
  /** The caller's own id of the request. */
  readonly callerRequestId: string | undefined;
  readonly bearerKey: string;
  readonly rank: string | undefined;
  readonly deadlineMs: number | undefined;
  readonly idempotencyKey: string | undefined;
  readonly service: string;
  readonly model?: ModelWork | undefined;
  readonly plain?: PlainWork | undefined;
}

/** How a request ended. */
export interface CallerOutcome {
  readonly requestId: string;
  readonly outcome: Outcome;
  readonly error?: TypedError | undefined;
  /** Milliseconds after which the caller may retry; only with refusals. */
  readonly retryAfterMs?: number | undefined;
  readonly finishReason?: string | undefined;
  readonly promptTokens?: number | undefined;
  readonly generatedTokens?: number | undefined;
  readonly plain?: PlainAnswer | undefined;
}

/** Delivers tokens and the outcome to one caller. */
export abstract class CallerExchange {
  /** Whether the caller has left, as far as its connection was read. */
  abstract get hasLeft(): boolean;
  /** Called with the id that was assigned to the request. */
  abstract handleAccepted(requestId: string): void;
  abstract sendToken(token: Token): void;
  /** Ends the exchange; called exactly once. */
  abstract finish(outcome: CallerOutcome): void;
}
