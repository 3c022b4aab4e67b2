/** HTTP server for operators: health, readiness, metrics, status, events, ledger and drain. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {
  Err,
  ErrorKind,
  Ok,
  toTypedError,
  type Address,
  type EventRecord,
  type Result,
} from '@lycheetally/common';
import { Registry, collectDefaultMetrics } from 'prom-client';
import { parseLedgerQuery, type LedgerQuery } from '../ledger/outcomeLedger.js';
import type { LedgerPage } from '../ledger/outcomeRecord.js';
import {
  parseEventQuery,
  type EventPage,
  type EventQuery,
} from '../timeline/eventPage.js';
import { startListening } from '@lycheetally/node';

/** The state and commands of a process that the HTTP server exposes. */
export abstract class OperatorsView {
  abstract isReady(): boolean;
  abstract describeStatus(): object;
  abstract listEvents(): readonly EventRecord[];
  /** Returns the events of this process that match the query. */
  abstract describeEvents(query: EventQuery): EventPage;
  /** Reads the outcome records of this process; `undefined` when it keeps none. */
  readLedger(_query: LedgerQuery): LedgerPage | undefined {
    return undefined;
  }
  /** Starts a graceful stop. */
  abstract requestDrain(): void;
}

export class OperatorsServer {
  private server: Server | undefined;

  constructor(
    private readonly view: OperatorsView,
    readonly registry: Registry = new Registry(),
  ) {
    collectDefaultMetrics({ register: this.registry });
  }

  /** Starts listening. Fails with `BadAddress`. */
  async listen(address: Address): Promise<Result<Address>> {
    const server = createServer((request, response) => {
      void this.serve(request, response);
    });
    const bound = await startListening(server, address);
    if (bound.err) {
      return Err(bound.val);
    }
    this.server = server;
    return Ok(bound.val);
  }

  dispose(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private handleCommand(path: string, response: ServerResponse): void {
    if (path !== '/v1/admin/drain') {
      sendJson(response, 404, { error: `no such command: ${path}` });
      return;
    }
    this.view.requestDrain();
    sendJson(response, 202, { draining: true });
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const url = new URL(request.url ?? '/', 'http://operators');
      if (request.method === 'POST') {
        this.handleCommand(url.pathname, response);
        return;
      }
      await this.handleGet(url, response);
    } catch (thrown) {
      const remedy = 'correct the URL and send the request again';
      const error = toTypedError(thrown, ErrorKind.BadRequest, remedy);
      sendJson(response, 400, { error: error.message });
    }
  }

  private async handleGet(url: URL, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = url;
    switch (pathname) {
      case '/healthz':
        sendJson(response, 200, { healthy: true });
        return;
      case '/readyz':
        this.sendReadiness(response);
        return;
      case '/metrics':
        response.setHeader('content-type', this.registry.contentType);
        response.end(await this.registry.metrics());
        return;
      case '/v1/admin/status':
        sendJson(response, 200, this.view.describeStatus());
        return;
      case '/v1/admin/events':
        sendJson(
          response,
          200,
          this.view.describeEvents(parseEventQuery(searchParams)),
        );
        return;
      case '/v1/admin/ledger':
        this.sendLedger(parseLedgerQuery(searchParams), response);
        return;
      default:
        sendJson(response, 404, { error: `no such path: ${pathname}` });
    }
  }

  private sendLedger(query: LedgerQuery, response: ServerResponse): void {
    const page = this.view.readLedger(query);
    if (!page) {
      sendJson(response, 404, {
        error: 'this process keeps no ledger; ask an entry',
      });
      return;
    }
    sendJson(response, 200, page);
  }

  private sendReadiness(response: ServerResponse): void {
    const ready = this.view.isReady();
    sendJson(response, ready ? 200 : 503, { ready });
  }
}

/** Sends a JSON body and ends the response. */
export const sendJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
): void => {
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(body));
};
