/** Sends the response to one caller over HTTP/1.1. */
import type { ServerResponse } from 'node:http';
import { millisecondsPerSecond } from '@lycheetally/common';
import type { RawHeaders } from './callFormat.js';
import type { CallerConnection } from './callerConnection.js';
import {
  CallerExchange,
  type BufferedResponse,
  type ErrorResponse,
} from './callerPort.js';

export class HttpCaller extends CallerExchange {
  constructor(
    private readonly response: ServerResponse,
    private readonly connection: CallerConnection,
  ) {
    super();
    response.sendDate = false;
  }

  /** Whether the whole response was passed to the network. */
  get hasFinished(): boolean {
    return this.response.writableFinished;
  }

  get hasLeft(): boolean {
    return this.connection.hasCallerLeft;
  }

  override startResponse(
    status: number,
    text: string,
    headers: RawHeaders,
  ): void {
    this.response.writeHead(status, text, this.addCloseHeader([...headers]));
    this.response.flushHeaders();
  }

  override write(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  override end(): void {
    this.response.end();
  }

  override sendResponse(buffered: BufferedResponse): void {
    const { response } = this;
    const { status, text, headers, body, isFramed } = buffered;
    if (isFramed) {
      const length = ['Content-Length', String(body.length)];
      const all = this.addCloseHeader([...headers, ...length]);
      response.writeHead(status, text, all);
    } else {
      // The end of the connection alone delimited the body, which may be truncated;
      // a length would mark it as complete.
      this.connection.isClosing = true;
      response.useChunkedEncodingByDefault = false;
      response.writeHead(status, text, [...headers, 'Connection', 'close']);
    }
    response.end(body);
  }

  override sendError(error: ErrorResponse): void {
    if (this.response.headersSent) {
      this.closeConnection();
      return;
    }
    this.writeError(error, this.addCloseHeader([]));
  }

  /** Answers a request that cannot be read to its end, and closes its connection. */
  sendErrorAndClose(error: ErrorResponse): void {
    this.connection.isClosing = true;
    this.writeError(error, ['Connection', 'close']);
  }

  override closeConnection(): void {
    this.response.destroy();
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
      const seconds = (retryAfterMs / millisecondsPerSecond).toFixed(2);
      headers.push('Retry-After', seconds);
    }
    this.response.writeHead(error.status, headers);
    this.response.end(body);
  }

  private addCloseHeader(headers: string[]): string[] {
    return this.connection.decideClose(this)
      ? [...headers, 'Connection', 'close']
      : headers;
  }
}
