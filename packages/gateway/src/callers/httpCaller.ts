/** Sends the response to one caller over HTTP/1.1. */
import type { ServerResponse } from 'node:http';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  millisecondsPerSecond,
  toMessage,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import type { KeptMemory } from '@lycheetally/decisions';
import type { RawHeaders } from '../callFormat.js';
import type { CallerConnection } from './callerConnection.js';
import {
  CallerExchange,
  type BufferedResponse,
  type ErrorResponse,
} from './callerPort.js';

export class HttpCaller extends CallerExchange {
  /** Memory of its head and of the part of its body that was received, in bytes. */
  keptBytes = 0;
  /** Whether nothing but the end of the connection delimits the answer. */
  private isUnframed = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly connection: CallerConnection,
    private readonly memory: KeptMemory,
  ) {
    super();
    response.sendDate = false;
  }

  /** Whether the whole response was passed to the network. */
  get hasFinished(): boolean {
    return this.response.writableFinished;
  }

  override get hasLeft(): boolean {
    return this.connection.hasCallerLeft;
  }

  override startResponse(
    status: number,
    text: string,
    headers: RawHeaders,
  ): Result<void> {
    const all = this.addConnectionHeaders([...headers]);
    return this.writeHead(status, text, all).map(() => {
      this.response.flushHeaders();
      // A caller with HTTP/1.0 knows no chunks.
      this.isUnframed = !this.response.chunkedEncoding;
    });
  }

  override write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  override end(): void {
    this.response.end();
  }

  override sendResponse(buffered: BufferedResponse): Result<void> {
    const { status, text, headers, body, isFramed } = buffered;
    if (!isFramed) {
      // The end of the connection alone delimited the body, which may be truncated;
      // a length would mark it as complete.
      this.isUnframed = true;
      this.connection.noteCloseAnnounced();
      this.response.useChunkedEncodingByDefault = false;
    }
    const all = isFramed
      ? this.addConnectionHeaders([
          ...headers,
          'Content-Length',
          String(body.length),
        ])
      : [...headers, 'Connection', 'close'];
    return this.writeHead(status, text, all).map(() => {
      // The call is not repeated any more, and its answer waits for the caller. Nothing
      // releases what is kept for one that has left.
      if (!this.response.destroyed) {
        this.memory.keep(this, body.length);
      }
      this.response.end(body);
    });
  }

  override sendError(error: ErrorResponse): void {
    if (this.response.headersSent) {
      this.closeConnection();
      return;
    }
    this.writeError(error, this.addConnectionHeaders([]));
  }

  /** Answers a request that cannot be read to its end, and closes its connection. */
  sendErrorAndClose(error: ErrorResponse): void {
    this.connection.noteCloseAnnounced();
    this.writeError(error, ['Connection', 'close']);
  }

  override closeConnection(): void {
    if (this.isUnframed) {
      this.connection.reset();
    } else {
      this.response.destroy();
    }
  }

  /** Resets the connection of an answer that would look whole although it was not sent to its end. */
  resetUnframed(): void {
    if (this.isUnframed && !this.hasFinished) {
      this.connection.reset();
    }
  }

  override setDrainListener(listener: () => void): void {
    this.response.on('drain', listener);
  }

  private writeError(error: ErrorResponse, headers: string[]): void {
    const { kind, message, outcome, retryAfterMs } = error;
    const body = Buffer.from(JSON.stringify({ error: { kind, message } }));
    headers.push(
      'Content-Type',
      'application/json',
      'Content-Length',
      String(body.length),
      'X-Lycheetally-Outcome',
      outcome,
    );
    if (retryAfterMs !== undefined) {
      headers.push('Retry-After', formatRetryAfter(retryAfterMs));
    }
    this.response.writeHead(error.status, headers);
    this.response.end(body);
  }

  private writeHead(
    status: number,
    text: string,
    headers: string[],
  ): Result<void> {
    try {
      this.response.writeHead(status, text, headers);
      return Ok(undefined);
    } catch (thrown) {
      return Err(
        new TypedError(
          ErrorKind.BadMessage,
          `the head of the answer cannot be sent (${toMessage(thrown)})`,
          'check what the server sends',
        ),
      );
    }
  }

  private addConnectionHeaders(headers: string[]): string[] {
    const { connection, response } = this;
    if (connection.decideClose(this)) {
      return [...headers, 'Connection', 'close'];
    }
    if (!response.shouldKeepAlive) {
      return headers;
    }
    const seconds = connection.noteIdleTimeTold();
    return [...headers, 'Keep-Alive', `timeout=${String(seconds)}`];
  }
}

/** Hundredths of a second, the resolution of `Retry-After`, in one second. */
const hundredthsPerSecond = 100;

/** Formats seconds, rounded up: a caller that returned earlier would be refused again. */
export const formatRetryAfter = (retryAfterMs: Milliseconds): string => {
  const seconds = retryAfterMs / millisecondsPerSecond;
  const hundredths = Math.ceil(seconds * hundredthsPerSecond);
  return (hundredths / hundredthsPerSecond).toFixed(2);
};
