/** The operators' port: health, readiness, metrics, status and events. */
import { createServer, type ServerResponse, type Server } from 'node:http';
import {
  Err,
  Ok,
  type Address,
  type EventRecord,
  type Result,
} from '@lycheetally/common';
import { Registry, collectDefaultMetrics } from 'prom-client';
import { startListening } from './listen.js';

/** What the operators' port reads from its process. */
export abstract class OperatorsView {
  abstract isReady(): boolean;
  abstract describeStatus(): object;
  abstract listEvents(): readonly EventRecord[];
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
      const path = new URL(request.url ?? '/', 'http://operators').pathname;
      if (request.method === 'POST') {
        this.answerCommand(path, response);
        return;
      }
      void this.answer(path, response);
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

  private answerCommand(path: string, response: ServerResponse): void {
    if (path !== '/v1/admin/drain') {
      sendJson(response, 404, { error: `no such command: ${path}` });
      return;
    }
    this.view.requestDrain();
    sendJson(response, 202, { draining: true });
  }

  private async answer(path: string, response: ServerResponse): Promise<void> {
    switch (path) {
      case '/healthz':
        sendJson(response, 200, { healthy: true });
        return;
      case '/readyz':
        this.answerReadiness(response);
        return;
      case '/metrics':
        response.setHeader('content-type', this.registry.contentType);
        response.end(await this.registry.metrics());
        return;
      case '/v1/admin/status':
        sendJson(response, 200, this.view.describeStatus());
        return;
      case '/v1/admin/events':
        sendJson(response, 200, { events: this.view.listEvents() });
        return;
      default:
        sendJson(response, 404, { error: `no such path: ${path}` });
    }
  }

  private answerReadiness(response: ServerResponse): void {
    const ready = this.view.isReady();
    sendJson(response, ready ? 200 : 503, { ready });
  }
}

/** Sends a JSON answer and ends the response. */
export const sendJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
): void => {
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(body));
};
