/** Stand-in for a client of the platform. */
import { Agent, request, type IncomingHttpHeaders } from 'node:http';

export interface ClientAnswer {
  readonly id: string;
  /** 0 if there was no answer. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Whether the answer came to its end. */
  readonly isComplete: boolean;
  readonly afterMs: number;
  /** Why there is no whole answer. */
  readonly fault: string;
}

export interface ClientRequest {
  readonly id: string;
  readonly path: string;
  readonly method?: string;
  readonly body?: Buffer;
  /** Sent in chunks; of this size each. */
  readonly chunkBytes?: number;
  readonly timeoutMs: number;
  readonly headers?: Readonly<Record<string, string>>;
}

export const clientHost = 'depot.example';
export const clientKey = 'key-1';

/** A client with one channel, which it keeps. */
export class Client {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  constructor(private readonly port: number) {}

  dispose(): void {
    this.agent.destroy();
  }

  /** Waits for the answer, or half a second more than the time that it names to the system. */
  send(options: ClientRequest): Promise<ClientAnswer> {
    const { id, path, method = 'POST', body, timeoutMs } = options;
    const startedAt = performance.now();
    return new Promise(resolve => {
      let status = 0;
      let headers: IncomingHttpHeaders = {};
      const chunks: Buffer[] = [];
      const finish = (isComplete: boolean, fault: string): void => {
        clearTimeout(timer);
        resolve({
          id,
          status,
          headers,
          body: Buffer.concat(chunks),
          isComplete,
          afterMs: Math.round(performance.now() - startedAt),
          fault,
        });
      };
      const outgoing = request({
        host: '127.0.0.1',
        port: this.port,
        path,
        method,
        agent: this.agent,
        headers: {
          Host: clientHost,
          'X-Request-Id': id,
          'X-Key': clientKey,
          'X-Time-Remaining': String(timeoutMs),
          ...options.headers,
        },
      });
      const timer = setTimeout(() => {
        finish(false, 'no answer in time');
        outgoing.destroy();
      }, timeoutMs + 500);
      outgoing.on('response', incoming => {
        status = incoming.statusCode ?? 0;
        headers = incoming.headers;
        incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
        incoming.on('error', () => undefined);
        incoming.on('close', () => {
          finish(incoming.complete, incoming.complete ? '' : 'it ended early');
        });
      });
      outgoing.on('error', error => {
        finish(false, error.message);
      });
      outgoing.end(body);
    });
  }
}
