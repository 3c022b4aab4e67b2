/** A sound client: one call, and what came of it. */
import { request } from 'node:http';

export interface CallOptions {
  readonly port: number;
  readonly method?: string;
  readonly path: string;
  readonly id: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly remainingMs: number;
}

export interface CallResult {
  /** 0 without an answer. */
  readonly status: number;
  readonly signature: string;
  readonly body: string;
  /** Whether the end of the answer came as its head announced it. */
  readonly isComplete: boolean;
  readonly durationMs: number;
}

export const clientHost = 'desk.example';
export const clientKey = 'key-1';

export const sendCall = (options: CallOptions): Promise<CallResult> => {
  const startedAt = performance.now();
  return new Promise(resolve => {
    let body = '';
    const finish = (
      status: number,
      signature = '',
      isComplete = false,
    ): void => {
      const durationMs = Math.round(performance.now() - startedAt);
      resolve({ status, signature, body, isComplete, durationMs });
    };
    const outgoing = request({
      host: '127.0.0.1',
      port: options.port,
      method: options.method ?? 'POST',
      path: options.path,
      agent: false,
      headers: {
        Host: clientHost,
        'X-Request-Id': options.id,
        'X-Key': clientKey,
        'X-Time-Remaining': String(options.remainingMs),
        ...options.headers,
      },
      signal: AbortSignal.timeout(options.remainingMs),
    });
    outgoing.on('response', incoming => {
      incoming.setEncoding('utf8');
      incoming.on('data', (text: string) => {
        body += text;
      });
      incoming.on('error', () => undefined);
      incoming.on('close', () => {
        const signature = incoming.headers['x-response-signature'];
        finish(
          incoming.statusCode ?? 0,
          [signature ?? ''].flat().join(','),
          incoming.complete,
        );
      });
    });
    outgoing.on('error', () => {
      finish(0);
    });
    outgoing.end(options.body ?? '');
  });
};
