/** HTTP server with a route table, used by the stand-ins. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import { formatAddress, toMessage, type Address } from '@lycheetally/common';
import {
  parseJson,
  readBody,
  sendJson,
  startListening,
} from '@lycheetally/router';

const maxStandInBodyBytes = 16 * 1_024 * 1_024;

/** Handles a request to a stand-in. */
export type StandInRoute = (
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
) => Promise<void> | void;

export class StandInServer {
  private readonly routes = new Map<string, StandInRoute>();
  private fallback: StandInRoute | undefined;
  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
  }

  /** Adds a route for a method and a path. */
  addRoute(method: string, path: string, route: StandInRoute): void {
    this.routes.set(`${method} ${path}`, route);
  }

  /** Sets the handler for requests that match no route. */
  setFallback(route: StandInRoute): void {
    this.fallback = route;
  }

  /** Starts listening; returns the bound address as `host:port`. */
  async listen(address: Address): Promise<string> {
    const bound = await startListening(this.server, address);
    if (bound.err) {
      throw bound.val;
    }
    return formatAddress(bound.val);
  }

  /** Stops accepting connections and waits for the open requests. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const key = `${request.method ?? 'GET'} ${url.pathname}`;
    const route = this.routes.get(key) ?? this.fallback;
    try {
      if (route) {
        await route(request, response, url);
        return;
      }
      sendJson(response, 404, { error: `no route ${key}` });
    } catch (thrown) {
      sendJson(response, 500, { error: toMessage(thrown) });
    }
  }
}

/** Reads and parses the JSON body of a request. */
export const readJsonBody = async (
  request: IncomingMessage,
): Promise<unknown> => {
  const body = await readBody(request, maxStandInBodyBytes);
  return parseJson(body.toString('utf8'));
};

/** Resolves after a delay. */
export const waitFor = (delayMs: number): Promise<void> =>
  new Promise(resolve => {
    setTimeout(resolve, delayMs);
  });
