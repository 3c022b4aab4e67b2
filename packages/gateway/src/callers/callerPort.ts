/** Interface between a gateway and its callers. */
import type { Milliseconds, Result } from '@lycheetally/common';
import type { CallFields, RawHeaders } from '../callFormat.js';

/** Where a call waited before it was read; what is left of the time was in its socket. */
export interface ReadWaits {
  /** Longest time that its connection can have waited in the queue of the listener. */
  readonly listenMs: Milliseconds;
  /** Time from the read of its bytes to their turn to be parsed. */
  readonly putOffMs: Milliseconds;
}

/** A call whose whole body was received. */
export interface ReceivedCall {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly path: string;
  readonly fields: CallFields;
  readonly body: Buffer;
  /** The earliest time at which its last bytes can have arrived. */
  readonly arrivedAt: Milliseconds;
  /** When the gateway had read it. */
  readonly receivedAt: Milliseconds;
  readonly readWaits: ReadWaits;
  /** Whether an earlier call came on the same connection. */
  readonly isOnKeptConnection: boolean;
}

/** Describes how long a call can have waited unread, and where, for a log line. */
export const describeUnread = ({
  arrivedAt,
  receivedAt,
  readWaits: { listenMs, putOffMs },
}: ReceivedCall): Readonly<Record<string, number>> => ({
  unreadMs: Math.round(receivedAt - arrivedAt),
  listenMs: Math.round(listenMs),
  putOffMs: Math.round(putOffMs),
});

/** An error response that the gateway itself produces. */
export interface ErrorResponse {
  readonly status: number;
  readonly kind: string;
  readonly message: string;
  readonly outcome: string;
  readonly retryAfterMs?: Milliseconds | undefined;
}

/** A backend server's response that was buffered until its end. */
export interface BufferedResponse {
  readonly status: number;
  readonly text: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly isFramed: boolean;
}

/** Sends the response to one caller. */
export abstract class CallerExchange {
  /** Whether the caller has left, as far as its connection was read. */
  abstract get hasLeft(): boolean;
  /** Sends the status and the headers of a response whose body follows. Fails with `BadMessage` if they cannot be sent. */
  abstract startResponse(
    status: number,
    text: string,
    headers: RawHeaders,
  ): Result<void>;
  /** Sends a part of the body; returns `false` when the sender should wait for the drain listener. */
  abstract write(chunk: Buffer): boolean;
  abstract end(): void;
  /**
   * Sends a whole response; one that is not framed ends when its connection closes.
   * Fails with `BadMessage` if its head cannot be sent; another response may follow.
   */
  abstract sendResponse(buffered: BufferedResponse): Result<void>;
  abstract sendError(error: ErrorResponse): void;
  /** Destroys the connection, so that the caller does not take a partial response for a complete one. */
  abstract closeConnection(): void;
  abstract setDrainListener(listener: () => void): void;
}
