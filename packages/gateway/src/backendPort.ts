/** Interface through which a gateway sends requests to backend servers. */
import type { ConnectionEnd } from '@lycheetally/node';
import type { ResponseFields, RawHeaders } from './callFormat.js';

/** One request to one backend server. */
export interface BackendRequest {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  /**
   * Returns the headers whose values are those of the moment at which the request is written, when
   * its connection is there; undefined if it must not be written any more.
   */
  readonly listTimedHeaders: () => RawHeaders | undefined;
  readonly body: Buffer;
  /** Re-uses only connections that were in use recently, which the server is unlikely to have closed. */
  readonly needsRecentConnection: boolean;
  /** Re-uses no connection: on one that the call was sent on before, an earlier answer to it may come again. */
  readonly needsNewConnection: boolean;
}

/** Status and headers of a backend server's response. */
export interface BackendHead {
  readonly status: number;
  readonly statusText: string;
  readonly fields: ResponseFields;
}

/** Why an exchange ended without a whole answer. */
export interface BackendFailure {
  readonly reason: string;
  /** The server closed or reset the connection, as it does when it crashes. */
  readonly isClosedByServer: boolean;
  /** The request cannot be formed and was not sent, which says nothing of the server. */
  readonly isUnsendable?: boolean;
}

/** Receives the events of one exchange; `handleEnd` or `handleFailure` is the last. */
export abstract class BackendListener {
  abstract handleConnected(): void;
  abstract handleHead(head: BackendHead): void;
  abstract handleBody(chunk: Buffer): void;
  /** The whole body was received. */
  abstract handleEnd(): void;
  abstract handleFailure(failure: BackendFailure): void;
}

/** A request in progress and its response. */
export abstract class BackendExchange {
  /** How the connection ended, as far as this exchange knows. */
  abstract get connectionEnd(): ConnectionEnd;
  /** Closes the connection; the listener receives no further events. */
  abstract close(): void;
  abstract pause(): void;
  abstract resume(): void;
}

export abstract class BackendPort {
  abstract open(
    request: BackendRequest,
    listener: BackendListener,
  ): BackendExchange;
  abstract dispose(): void;
}
