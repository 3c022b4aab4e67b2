/**
 * A TCP relay that stands on a link between two processes and spoils it.
 *
 * Cuts and silences hit the connections that are open; connections made later
 * work. Delays hold for every byte, and a closed relay refuses all connections.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { ValueOf } from '@lycheetally/common';
import { waitFor } from '../standIns/standInServer.js';

/** The way that bytes take through a relay. */
export const Direction = {
  /** From the process that connected. */
  Forward: 'forward',
  /** Towards the process that connected. */
  Backward: 'backward',
} as const;
export type Direction = ValueOf<typeof Direction>;

interface Pair {
  readonly client: Socket;
  readonly server: Socket;
  /** Directions in which bytes vanish and closes go unnoticed. */
  readonly silent: Set<Direction>;
}

const host = '127.0.0.1';

export class TcpRelay {
  private readonly server: Server;
  private readonly pairs = new Set<Pair>();
  private delayMs = 0;
  private isClosed = false;

  /** Creates a relay to an address, as `host:port`. */
  constructor(private target: string) {
    this.server = createServer(socket => {
      this.acceptClient(socket);
    });
  }

  /** Starts listening; returns the address, as `host:port`. */
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

  /** Sends later connections to another address. */
  setTarget(target: string): void {
    this.target = target;
  }

  /** Holds every chunk back for some milliseconds. */
  setDelay(delayMs: number): void {
    this.delayMs = delayMs;
  }

  /** Refuses later connections, or takes them again. */
  setClosed(isClosed: boolean): void {
    this.isClosed = isClosed;
  }

  /** Ends the open connections. */
  cutConnections(): void {
    for (const pair of this.pairs) {
      this.dropPair(pair);
    }
  }

  /** Lets bytes of the open connections vanish in some directions, for good. */
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
    // A delay that ends must not let later bytes overtake earlier ones.
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
