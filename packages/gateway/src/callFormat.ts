/**
 * The headers of calls and answers. An adapter knows their names; the gateway
 * sees what they say.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { ChainStage } from '@lycheetally/decisions';

/** Header names and values in turn, as Node's raw headers. */
export type RawHeaders = readonly string[];

/** What a caller's headers say. */
export interface CallFields {
  readonly requestId: string | undefined;
  readonly host: string | undefined;
  readonly key: string | undefined;
  /** Milliseconds that the caller will wait. */
  readonly remainingMs: Milliseconds | undefined;
  readonly promptTokens: number | undefined;
  readonly maxOutputTokens: number | undefined;
  /** Headers that go on to the backend server. */
  readonly forwarded: RawHeaders;
}

/** What the gateway tells a backend server beside the caller's own headers. */
export interface SendFields {
  readonly serverId: string;
  readonly remainingMs: Milliseconds;
  readonly account: string | undefined;
  readonly urgency: number;
  readonly chain: readonly ChainStage[];
  /** The last event that the caller has, when a stream goes on. */
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
}

/** What the headers of an answer say. */
export interface AnswerFields {
  readonly requestId: string | undefined;
  /** The server promises that the call has not run and never will. */
  readonly isNotRun: boolean;
  /** The address is another server's by now. */
  readonly isOtherServer: boolean;
  /** Address of the server of the chain that refused. */
  readonly refusedBy: string | undefined;
  /** The body is the server's own: signed and not encoded on the way. */
  readonly isWhole: boolean;
  /** Calls that the server runs and holds waiting, where it says so. */
  readonly serverLoad: number | undefined;
  /** The answer says where its body ends; without that only its connection does. */
  readonly isFramed: boolean;
  /** Headers that go on to the caller. */
  readonly forwarded: RawHeaders;
}

/** Reads and writes the headers of one deployment. */
export abstract class CallFormat {
  abstract readCall(headers: RawHeaders): CallFields;
  abstract writeSend(
    call: CallFields,
    method: string,
    send: SendFields,
  ): string[];
  abstract readAnswer(status: number, headers: RawHeaders): AnswerFields;
}
