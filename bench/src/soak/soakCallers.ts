/** Callers of a soak; half of the calls use keep-alive connections, which stay open until the gateway process ends. */
import { Agent, request } from 'node:http';
import { SeededRandom, waitFor } from '@lycheetally/testkit';
import { SoakKind, type SoakCall } from './types.js';

/** Host of the routes that the soak configures. */
export const soakHost = 'soak.example';

/** Milliseconds after which a caller gives up on a call. */
const callTimeoutMs = 4_000;

/** Mean time between two calls. */
const meanArrivalIntervalMs = 25;

export interface SoakLoad {
  readonly seed: number;
  readonly ports: readonly number[];
  readonly keys: readonly string[];
  readonly startedAt: number;
  readonly durationMs: number;
}

/** Sends calls for `durationMs` and returns each with its result. */
export const runCallers = async (load: SoakLoad): Promise<SoakCall[]> => {
  const random = new SeededRandom(load.seed);
  const agent = new Agent({ keepAlive: true, maxSockets: 200 });
  const calls: Promise<SoakCall>[] = [];
  const kinds = Object.values(SoakKind);
  const endsAt = Date.now() + load.durationMs;
  for (let index = 0; Date.now() < endsAt; index += 1) {
    const usesKeepAlive = random.pickInteger(2) === 0;
    calls.push(
      sendCall({
        requestId: `${String(load.seed)}-${String(index)}`,
        kind: random.pickOne(kinds),
        key: random.pickOne(load.keys),
        port: random.pickOne(load.ports),
        agent: usesKeepAlive ? agent : undefined,
        startedAt: load.startedAt,
      }),
    );
    await waitFor(random.pickInteger(2 * meanArrivalIntervalMs));
  }
  const ended = await Promise.all(calls);
  agent.destroy();
  return ended;
};

interface PlannedCall {
  readonly requestId: string;
  readonly kind: SoakKind;
  readonly key: string;
  readonly port: number;
  readonly agent: Agent | undefined;
  readonly startedAt: number;
}

const sendCall = (planned: PlannedCall): Promise<SoakCall> => {
  const body = `body of ${planned.requestId}`;
  const sent = {
    requestId: planned.requestId,
    kind: planned.kind,
    key: planned.key,
    body,
    sentAt: Date.now() - planned.startedAt,
  };
  return new Promise(resolve => {
    const outgoing = request({
      host: '127.0.0.1',
      port: planned.port,
      method: 'POST',
      path: `/${planned.kind}/one`,
      agent: planned.agent ?? false,
      headers: {
        host: soakHost,
        'x-request-id': planned.requestId,
        'x-key': planned.key,
        'x-time-remaining': String(callTimeoutMs),
      },
    });
    const timer = setTimeout(() => outgoing.destroy(), callTimeoutMs);
    const finish = (
      result: Pick<SoakCall, 'status' | 'answer' | 'isComplete' | 'isSigned'>,
    ): void => {
      clearTimeout(timer);
      resolve({ ...sent, ...result });
    };
    outgoing.on('error', () => {
      finish({ status: 0, answer: '', isComplete: false, isSigned: false });
    });
    outgoing.on('response', incoming => {
      let answer = '';
      incoming.on('data', (chunk: Buffer) => {
        answer += chunk.toString();
      });
      incoming.on('error', () => undefined);
      incoming.on('close', () => {
        finish({
          status: incoming.statusCode ?? 0,
          answer,
          isComplete: incoming.complete,
          isSigned: incoming.headers['x-response-signature'] !== undefined,
        });
      });
    });
    outgoing.end(body);
  });
};
