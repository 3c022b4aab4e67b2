/** How a gateway reaches backend servers. */
import type { AnswerFields, RawHeaders } from './callFormat.js';

/** One request to one backend server. */
export interface BackendRequest {
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Uses only connections that are sure to be open. */
  readonly needsSureConnection: boolean;
}

/** The head of a backend server's answer. */
export interface BackendHead {
  readonly status: number;
  readonly statusText: string;
  readonly fields: AnswerFields;
}

/** Hears of one exchange; nothing more after `handleEnd` or `handleFailure`. */
export abstract class BackendListener {
  abstract handleConnected(): void;
  abstract handleHead(head: BackendHead): void;
  abstract handleBody(chunk: Buffer): void;
  /** The body is whole. */
  abstract handleEnd(): void;
  abstract handleFailure(reason: string): void;
}

/** An exchange under way. */
export abstract class BackendExchange {
  /** Closes the connection; the listener hears no more. */
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
