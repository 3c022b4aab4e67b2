/**
 * A TCP relay that injects network faults between two processes.
 *
 * Cutting or silencing affects only the connections that are open at that time.
 * A delay affects the bytes of all connections, and a closed relay refuses new
 * connections.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { ValueOf } from '@lycheetally/common';
import { waitFor } from '../standIns/standInServer.js';

/** Direction in which bytes pass a relay. */
export const Direction = {
  /** From the client that connected to the relay. */
  Forward: 'forward',
  /** Towards the client that connected to the relay. */
  Backward: 'backward',
} as const;
export type Direction = ValueOf<typeof Direction>;

interface RelayedConnection {
  readonly client: Socket;
  readonly server: Socket;
  /** Directions in which bytes are discarded and a close isn't passed on. */
  readonly silencedDirections: Set<Direction>;
}

const host = '127.0.0.1';

export class TcpRelay {
  private readonly server: Server;
  private readonly connections = new Set<RelayedConnection>();
  private delayMs = 0;
  private isClosed = false;

  /** Creates a relay to a target address of the form `host:port`. */
  constructor(private target: string) {
    this.server = createServer(socket => {
      this.acceptConnection(socket);
    });
  }

  /**
   * Starts listening, unless it already does; returns the bound address as
   * `host:port`.
   */
  async listen(): Promise<string> {
    if (!this.server.listening) {
      await new Promise<void>(resolve => {
        this.server.listen(0, host, resolve);
      });
    }
    const bound = this.server.address();
    const port = typeof bound === 'object' ? (bound?.port ?? 0) : 0;
    return `${host}:${String(port)}`;
  }

  /** Changes the target address of new connections. */
  setTarget(target: string): void {
    this.target = target;
  }

  /** Delays each chunk that arrives from now on. */
  setDelay(delayMs: number): void {
    this.delayMs = delayMs;
  }

  /** Sets whether new connections are refused. */
  setClosed(isClosed: boolean): void {
    this.isClosed = isClosed;
  }

  /** Closes the open connections at both ends. */
  cutConnections(): void {
    for (const connection of this.connections) {
      this.closeConnection(connection);
    }
  }

  /** Discards all further bytes of the open connections in the given directions. */
  silenceConnections(...directions: readonly Direction[]): void {
    for (const connection of this.connections) {
      directions.forEach(direction =>
        connection.silencedDirections.add(direction),
      );
    }
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  dispose(): void {
    this.server.close();
    this.cutConnections();
  }

  private acceptConnection(client: Socket): void {
    if (this.isClosed) {
      client.destroy();
      return;
    }
    const separator = this.target.lastIndexOf(':');
    const port = Number(this.target.slice(separator + 1));
    const server = connect({ host: this.target.slice(0, separator), port });
    const connection: RelayedConnection = {
      client,
      server,
      silencedDirections: new Set(),
    };
    client.setNoDelay(true);
    server.setNoDelay(true);
    this.connections.add(connection);
    this.forwardChunks(connection, Direction.Forward);
    this.forwardChunks(connection, Direction.Backward);
  }

  private forwardChunks(
    connection: RelayedConnection,
    direction: Direction,
  ): void {
    const isForward = direction === Direction.Forward;
    const from = isForward ? connection.client : connection.server;
    const to = isForward ? connection.server : connection.client;
    let previous: Promise<void> | undefined;
    // Keeps bytes in order when the delay is lowered while earlier bytes are
    // still held back.
    const runInOrder = (run: () => void): void => {
      const { delayMs } = this;
      if (previous === undefined && delayMs === 0) {
        run();
        return;
      }
      const delayed = Promise.all([previous, waitFor(delayMs)]).then(() => {
        previous = previous === delayed ? undefined : previous;
        run();
      });
      previous = delayed;
    };
    from.on('data', chunk => {
      runInOrder(() => {
        if (!connection.silencedDirections.has(direction)) {
          to.write(chunk);
        }
      });
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      runInOrder(() => {
        this.handleClose(connection, direction);
      });
    });
  }

  private handleClose(
    connection: RelayedConnection,
    direction: Direction,
  ): void {
    if (!connection.silencedDirections.has(direction)) {
      this.closeConnection(connection);
    }
  }

  private closeConnection(connection: RelayedConnection): void {
    this.connections.delete(connection);
    connection.client.destroy();
    connection.server.destroy();
  }
}
