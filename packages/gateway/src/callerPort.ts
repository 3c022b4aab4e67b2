/** How callers reach a gateway. */
import type { Milliseconds } from '@lycheetally/common';
import type { CallFields, RawHeaders } from './callFormat.js';

/** A whole call as it was received. */
export interface ReceivedCall {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly path: string;
  readonly fields: CallFields;
  readonly body: Buffer;
  readonly receivedAt: Milliseconds;
}

/** An answer of the gateway's own. */
export interface OwnAnswer {
  readonly status: number;
  readonly kind: string;
  readonly message: string;
  readonly outcome: string;
  readonly retryAfterMs?: Milliseconds | undefined;
}

/** An answer of a backend server that was held until its end. */
export interface WholeAnswer {
  readonly status: number;
  readonly text: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly isFramed: boolean;
}

/** The way back to one caller. */
export abstract class CallerExchange {
  /** Begins an answer whose body follows. */
  abstract begin(status: number, text: string, headers: RawHeaders): void;
  /** Sends a part of the body; `false` asks to wait for `onDrained`. */
  abstract write(chunk: Buffer): boolean;
  abstract end(): void;
  /** Sends a whole answer; one that is not framed ends with its connection. */
  abstract answer(answer: WholeAnswer): void;
  abstract answerOwn(answer: OwnAnswer): void;
  /** Breaks the connection, so that what was sent does not look whole. */
  abstract cut(): void;
  abstract setDrainListener(listener: () => void): void;
}
