/**
 * The connections of callers and the responses that are open on each.
 *
 * A response is open until its last byte was handed to the operating system.
 * The socket is kept from the start, since a response that has ended has none.
 * Node's own list of idle connections has those whose response is complete but
 * not yet sent, so that it cannot tell which ones may be closed.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface OpenResponse {
  readonly request: IncomingMessage;
  readonly handleClosed: () => void;
}

interface Connection {
  readonly responses: Set<OpenResponse>;
  /** Bytes that were read when the last response ended; more belong to a request that is arriving. */
  bytesWhenIdle: number;
}

export class CallerConnections {
  private readonly connections = new Map<Socket, Connection>();
  private isDraining = false;

  /** Responses that are open to requests that were read whole. */
  get openResponses(): number {
    let count = 0;
    for (const { responses } of this.connections.values()) {
      for (const { request } of responses) {
        count += request.complete ? 1 : 0;
      }
    }
    return count;
  }

  addConnection(socket: Socket): void {
    const connection = { responses: new Set<OpenResponse>(), bytesWhenIdle: 0 };
    this.connections.set(socket, connection);
    // A response that waits for an earlier one on its connection has no 'close' event of its own.
    socket.on('close', () => {
      for (const response of connection.responses) {
        this.removeResponse(socket, response);
      }
      this.connections.delete(socket);
    });
  }

  /** Adds a response; the callback runs once, when it has ended or its connection is closed. */
  addResponse(
    request: IncomingMessage,
    response: ServerResponse,
    handleClosed: () => void,
  ): void {
    const { socket } = request;
    const added = { request, handleClosed };
    this.connections.get(socket)?.responses.add(added);
    if (this.isDraining) {
      response.shouldKeepAlive = false;
    }
    response.on('close', () => {
      this.removeResponse(socket, added);
    });
  }

  /**
   * Closes the connections on which neither a request nor a response is under
   * way, and each other one when its last response has ended.
   */
  drain(): void {
    this.isDraining = true;
    for (const [socket, { responses, bytesWhenIdle }] of this.connections) {
      if (responses.size === 0 && socket.bytesRead === bytesWhenIdle) {
        socket.destroySoon();
      }
    }
  }

  private removeResponse(socket: Socket, response: OpenResponse): void {
    const connection = this.connections.get(socket);
    if (!connection?.responses.delete(response)) {
      return;
    }
    if (connection.responses.size === 0) {
      connection.bytesWhenIdle = socket.bytesRead;
      if (this.isDraining) {
        socket.destroySoon();
      }
    }
    response.handleClosed();
  }
}
