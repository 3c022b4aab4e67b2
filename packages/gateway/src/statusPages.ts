/** HTTP endpoints: readiness for the load balancer, and metrics and further pages for operators. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { Registry } from 'prom-client';
import { toMessage, type Address, type Result } from '@lycheetally/common';
import { startListening } from '@lycheetally/node';

/** Path of the metrics; any other path returns the readiness. */
const metricsPath = '/metrics';

/** A page for operators only. */
export interface OperatorPage {
  /** Answers a request for the page; returns `false` for any other one. */
  receive(incoming: IncomingMessage, response: ServerResponse): boolean;
}

export class StatusPages {
  private readonly servers: Server[] = [];

  constructor(
    private readonly registry: Registry,
    private readonly isReady: () => boolean,
  ) {}

  /** Serves the endpoints on one more address, and a page for operators, if there is one. Fails with `BadAddress`. */
  async listen(
    address: Address,
    operatorPage?: OperatorPage,
  ): Promise<Result<Address>> {
    const server = createServer((incoming, response) => {
      if (operatorPage?.receive(incoming, response)) {
        return;
      }
      if (incoming.url === metricsPath) {
        void this.answerMetrics(response);
        return;
      }
      response.writeHead(this.isReady() ? 200 : 503);
      response.end();
    });
    const listening = await startListening(server, address);
    if (listening.ok) {
      this.servers.push(server);
    }
    return listening;
  }

  dispose(): void {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  private async answerMetrics(response: ServerResponse): Promise<void> {
    try {
      const page = await this.registry.metrics();
      response.writeHead(200, { 'Content-Type': this.registry.contentType });
      response.end(page);
    } catch (thrown) {
      response.writeHead(500);
      response.end(toMessage(thrown));
    }
  }
}
