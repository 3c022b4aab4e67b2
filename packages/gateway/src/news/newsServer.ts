/** HTTP server at which other gateways ask for news of the store and send records of prompt parts. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { Address, Result } from '@lycheetally/common';
import { startListening } from '@lycheetally/node';
import { loadPath } from '../balance/loadMessage.js';
import { suspectPath } from '../suspects/suspectMessage.js';
import { encodeNews, parseNewsPath } from './newsFormat.js';
import type { NewsAnswer, NewsCallback, NewsRequest } from './newsTable.js';

/** Receives the requests on the event loop; the reply may come later. */
export type NewsHandler = (
  table: string,
  request: NewsRequest,
  reply: NewsCallback,
) => void;

/** Handles a request with a body, and responds to it. */
export type PostHandler = (
  incoming: IncomingMessage,
  response: ServerResponse,
) => void;

/** Status when there are no fresh news here; the asking gateway reads the store. */
const noNewsStatus = 503;

export class NewsServer {
  private readonly server: Server;

  constructor(
    private readonly handleRequest: NewsHandler,
    private readonly receiveParts: PostHandler,
    /** Handles a load report; they are refused without it. */
    private readonly receiveLoad?: PostHandler,
  ) {
    this.server = createServer((incoming, response) => {
      this.receive(incoming, response);
    });
  }

  /** Fails with `BadAddress`. */
  listen(address: Address): Promise<Result<Address>> {
    return startListening(this.server, address);
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(incoming: IncomingMessage, response: ServerResponse): void {
    if (incoming.method === 'POST' && incoming.url === suspectPath) {
      this.receiveParts(incoming, response);
      return;
    }
    if (
      this.receiveLoad &&
      incoming.method === 'POST' &&
      incoming.url === loadPath
    ) {
      this.receiveLoad(incoming, response);
      return;
    }
    incoming.resume();
    const parsed = parseNewsPath(incoming.url ?? '');
    if (!parsed) {
      response.writeHead(404).end();
      return;
    }
    this.handleRequest(parsed.table, parsed.request, answer => {
      sendAnswer(answer, response);
    });
  }
}

const sendAnswer = (
  answer: NewsAnswer | undefined,
  response: ServerResponse,
): void => {
  if (!answer) {
    response.writeHead(noNewsStatus).end();
    return;
  }
  const { bytes, isCompressed } = encodeNews(answer);
  response.writeHead(200, {
    'Content-Type': 'application/json',
    'Content-Length': bytes.length,
    ...(isCompressed ? { 'Content-Encoding': 'gzip' } : {}),
  });
  response.end(bytes);
};
