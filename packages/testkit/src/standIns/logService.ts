/**
 * Stand-in for the platform's log service: append-only streams, with fault
 * injection.
 */
import type { ServerResponse } from 'node:http';
import type { Address } from '@lycheetally/common';
import { sendJson } from '@lycheetally/router';
import { z } from 'zod';
import { readJsonBody, StandInServer, waitFor } from './standInServer.js';

const faultSchema = z.object({
  /** Closes the connection of every call. */
  outage: z.boolean().optional(),
  /** Delay before each call is handled, in milliseconds. */
  delayMs: z.number().min(0).optional(),
  /** Number of following appends that are stored but get no response. */
  loseAnswers: z.int().min(0).optional(),
  /** Limit on the append rate; 0 for no limit. */
  appendsPerSecond: z.number().min(0).optional(),
});

const appendSchema = z.object({ values: z.array(z.string()).min(1) });
const trimSchema = z.object({ stream: z.string(), before: z.int().min(0) });

interface Stream {
  firstOffset: number;
  readonly records: { offset: number; value: string }[];
}

const recordsPath = /^\/streams\/([^/]+)\/records$/;
const maxRecordsPerRead = 1_000;

export class LogServiceStandIn {
  private readonly server = new StandInServer();
  private readonly streams = new Map<string, Stream>();
  private readonly faults = {
    outage: false,
    delayMs: 0,
    loseAnswers: 0,
    appendsPerSecond: 0,
  };
  private appends = 0;
  private nextAppendAt = 0;

  constructor() {
    this.server.addRoute('POST', '/control', async (request, response) => {
      Object.assign(
        this.faults,
        faultSchema.parse(await readJsonBody(request)),
      );
      sendJson(response, 200, this.faults);
    });
    this.server.addRoute('POST', '/trim', async (request, response) => {
      const { stream, before } = trimSchema.parse(await readJsonBody(request));
      this.trim(stream, before);
      sendJson(response, 200, {});
    });
    this.server.addRoute('GET', '/counts', (_, response) => {
      sendJson(response, 200, { appends: this.appends });
    });
    this.server.setFallback(async (request, response, url) => {
      await waitFor(this.faults.delayMs);
      if (this.faults.outage) {
        response.destroy();
        return;
      }
      const name = recordsPath.exec(url.pathname)?.[1];
      if (name === undefined) {
        sendJson(response, 404, { error: 'no such stream path' });
        return;
      }
      const stream = this.getStream(decodeURIComponent(name));
      if (request.method === 'POST') {
        const { values } = appendSchema.parse(await readJsonBody(request));
        await this.waitForRateLimit();
        this.answerAppend(stream, values, response);
        return;
      }
      this.answerRead(stream, Number(url.searchParams.get('from')), response);
    });
  }

  listen(address: Address): Promise<string> {
    return this.server.listen(address);
  }

  /** Stops accepting connections and waits for the open calls. */
  close(): Promise<void> {
    return this.server.close();
  }

  dispose(): void {
    this.server.dispose();
  }

  /** Delays an append so that appends are spaced evenly at the rate limit. */
  private async waitForRateLimit(): Promise<void> {
    const { appendsPerSecond } = this.faults;
    if (appendsPerSecond === 0) {
      return;
    }
    const now = performance.now();
    const startAt = Math.max(now, this.nextAppendAt);
    this.nextAppendAt = startAt + 1_000 / appendsPerSecond;
    await waitFor(startAt - now);
  }

  private getStream(name: string): Stream {
    const existing = this.streams.get(name);
    if (existing) {
      return existing;
    }
    const stream: Stream = { firstOffset: 0, records: [] };
    this.streams.set(name, stream);
    return stream;
  }

  private answerAppend(
    stream: Stream,
    values: readonly string[],
    response: ServerResponse,
  ): void {
    const offset = getNextOffset(stream);
    values.forEach((value, index) => {
      stream.records.push({ offset: offset + index, value });
    });
    this.appends += 1;
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      response.destroy();
      return;
    }
    sendJson(response, 200, { offset });
  }

  private answerRead(
    stream: Stream,
    from: number,
    response: ServerResponse,
  ): void {
    const start = Math.max(0, from - stream.firstOffset);
    const records = stream.records.slice(start, start + maxRecordsPerRead);
    const last = records.at(-1);
    sendJson(response, 200, {
      first: stream.firstOffset,
      next: last ? last.offset + 1 : Math.max(from, getNextOffset(stream)),
      records,
    });
  }

  private trim(name: string, before: number): void {
    const stream = this.getStream(name);
    const removedCount = Math.min(
      Math.max(0, before - stream.firstOffset),
      stream.records.length,
    );
    stream.records.splice(0, removedCount);
    stream.firstOffset += removedCount;
  }
}

const getNextOffset = (stream: Stream): number =>
  stream.firstOffset + stream.records.length;
