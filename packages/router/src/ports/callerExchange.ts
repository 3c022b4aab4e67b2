/** The exchange with one caller, whatever the front end speaks. */
import type { TypedError } from '@lycheetally/common';
import type { Outcome } from '@lycheetally/decisions';
import type {
  ModelWork,
  PlainAnswer,
  PlainWork,
  Token,
} from '@lycheetally/protocol';

/** A call as a front end read it, before anything is checked against the configuration. */
export interface CallerCall {
  /** The caller's own name for the request. */
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
  /** Milliseconds after which a repeat makes sense; with refusals. */
  readonly retryAfterMs?: number | undefined;
  readonly finishReason?: string | undefined;
  readonly promptTokens?: number | undefined;
  readonly generatedTokens?: number | undefined;
  readonly plain?: PlainAnswer | undefined;
}

/** Delivers tokens and the outcome to one caller. */
export abstract class CallerExchange {
  /** Tells the caller's side the name that the request was given. */
  abstract noteAccepted(requestId: string): void;
  abstract sendToken(token: Token): void;
  /** Ends the exchange; called exactly once. */
  abstract finish(outcome: CallerOutcome): void;
}
