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

interface Pair {
  readonly client: Socket;
  readonly server: Socket;
  /** Directions in which bytes are discarded and a close isn't passed on. */
  readonly silent: Set<Direction>;
}

const host = '127.0.0.1';

export class TcpRelay {
  private readonly server: Server;
  private readonly pairs = new Set<Pair>();
  private delayMs = 0;
  private isClosed = false;

  /** Creates a relay to a target address of the form `host:port`. */
  constructor(private target: string) {
    this.server = createServer(socket => {
      this.acceptClient(socket);
    });
  }

  /** Starts listening, unless it already does; returns the bound address as `host:port`. */
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
    for (const pair of this.pairs) {
      this.dropPair(pair);
    }
  }

  /** Discards all further bytes of the open connections in the given directions. */
  silenceConnections(...directions: readonly Direction[]): void {
    for (const pair of this.pairs) {
      directions.forEach(direction => pair.silent.add(direction));
    }
  }

  /** Number of open connections. */
  get size(): number {
    return this.pairs.size;
  }

  dispose(): void {
    this.server.close();
    this.cutConnections();
  }

  private acceptClient(client: Socket): void {
    if (this.isClosed) {
      client.destroy();
      return;
    }
    const split = this.target.lastIndexOf(':');
    const port = Number(this.target.slice(split + 1));
    const server = connect({ host: this.target.slice(0, split), port });
    const pair: Pair = { client, server, silent: new Set() };
    client.setNoDelay(true);
    server.setNoDelay(true);
    this.pairs.add(pair);
    this.forwardChunks(pair, Direction.Forward);
    this.forwardChunks(pair, Direction.Backward);
  }

  private forwardChunks(pair: Pair, direction: Direction): void {
    const isForward = direction === Direction.Forward;
    const from = isForward ? pair.client : pair.server;
    const to = isForward ? pair.server : pair.client;
    let before: Promise<void> | undefined;
    // Keeps bytes in order when the delay is lowered while earlier bytes are still held back.
    const runInOrder = (run: () => void): void => {
      const { delayMs } = this;
      if (before === undefined && delayMs === 0) {
        run();
        return;
      }
      const held = Promise.all([before, waitFor(delayMs)]).then(() => {
        before = before === held ? undefined : before;
        run();
      });
      before = held;
    };
    from.on('data', chunk => {
      runInOrder(() => {
        if (!pair.silent.has(direction)) {
          to.write(chunk);
        }
      });
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      runInOrder(() => {
        this.closePair(pair, direction);
      });
    });
  }

  private closePair(pair: Pair, direction: Direction): void {
    if (!pair.silent.has(direction)) {
      this.dropPair(pair);
    }
  }

  private dropPair(pair: Pair): void {
    this.pairs.delete(pair);
    pair.client.destroy();
    pair.server.destroy();
  }
}
