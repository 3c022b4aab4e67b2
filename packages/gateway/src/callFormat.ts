/**
 * Contents of the headers of requests and responses. Only the platform's adapter
 * knows the header names; the gateway works with these fields.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { ChainStage } from '@lycheetally/decisions';

/** Alternating header names and values, as in Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** Fields read from the headers of a caller's request. */
export interface CallFields {
  readonly requestId: string | undefined;
  readonly host: string | undefined;
  readonly key: string | undefined;
  /** How much longer the caller waits, in milliseconds. */
  readonly remainingMs: Milliseconds | undefined;
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number | undefined;
  /** The caller's estimate of the output tokens; often far off. */
  readonly hintedOutputTokens: number | undefined;
  /** Ids of the parts that the prompt shares with other calls, in order; bounded in number and length. */
  readonly promptParts: readonly string[];
  /** Headers forwarded to the backend server. */
  readonly forwarded: RawHeaders;
}

/** Fields that the gateway adds to the caller's headers when it sends a request to a backend server. */
export interface RequestFields {
  readonly serverId: string;
  readonly account: string | undefined;
  readonly urgency: number;
  readonly chain: readonly ChainStage[];
  /** Id of the last event that the caller received, when a stream is resumed. */
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
}

/** Fields read from the headers of a backend server's response. */
export interface ResponseFields {
  readonly requestId: string | undefined;
  /** The server guarantees that the call has not run and will not run. */
  readonly isNotRun: boolean;
  /** The address now belongs to another server. */
  readonly isMisdirected: boolean;
  /** Address of the server in the chain that refused the call. */
  readonly refusedBy: string | undefined;
  /** The response carries the server's signature, and its body was not re-encoded on the way. */
  readonly isAuthentic: boolean;
  /** The server finishes its calls and then ends. */
  readonly isLeaving: boolean;
  /** Number of running and waiting calls that the server reports, if it does. */
  readonly serverLoad: number | undefined;
  /** Requests per second that the server takes from all gateways; absent without a limit, NaN if it cannot be read. */
  readonly limitPerSecond: number | undefined;
  /** How long a server that turned the call away wants no others from this gateway. */
  readonly closedForMs: Milliseconds | undefined;
  /** The headers delimit the body; otherwise it ends when the connection closes. */
  readonly isFramed: boolean;
  /** Headers forwarded to the caller. */
  readonly forwarded: RawHeaders;
}

/** Reads and writes the headers that a platform uses. */
export abstract class CallFormat {
  abstract readCall(headers: RawHeaders): CallFields;
  abstract writeRequest(
    call: CallFields,
    method: string,
    send: RequestFields,
  ): string[];
  /** Returns the headers that tell a server how much longer the caller waits. */
  abstract writeRemainingTime(remainingMs: Milliseconds): string[];
  abstract readResponse(status: number, headers: RawHeaders): ResponseFields;
}
