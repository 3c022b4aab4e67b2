/** Stand-in for a plain service; records every call that it ran. */
import type { Address } from '@lycheetally/common';
import { sendJson } from '@lycheetally/router';
import { readJsonBody, StandInServer, waitFor } from './standInServer.js';

/** One execution of a call by a plain service. */
export interface PlainRunRecord {
  readonly requestId: string;
  readonly attempt: number;
  readonly method: string;
  readonly path: string;
  readonly body: unknown;
}

export class PlainServiceStandIn {
  private readonly server = new StandInServer();
  private readonly runs: PlainRunRecord[] = [];

  constructor(private readonly workMs: number) {
    this.server.addRoute('GET', '/runs', (_, response) => {
      sendJson(response, 200, { runs: this.runs });
    });
    this.server.setFallback(async (request, response, url) => {
      const body = await readJsonBody(request);
      this.runs.push({
        requestId: String(request.headers['x-request-id']),
        attempt: Number(request.headers['x-attempt']),
        method: request.method ?? '',
        path: url.pathname,
        body,
      });
      const number = this.runs.length;
      await waitFor(this.workMs);
      sendJson(response, 200, {
        confirmation: number,
        path: url.pathname,
        body,
      });
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
}
