/** Callers of a soak; half of the calls use keep-alive connections, which stay open until the gateway process ends. */
import { Agent, request } from 'node:http';
import { SeededNumbers, waitFor } from '@lycheetally/testkit';
import { SoakKind, type SoakCall } from './types.js';

/** Host of the routes that the soak configures. */
export const soakHost = 'soak.example';

/** Milliseconds after which a caller gives up on a call. */
const callerMs = 4_000;

/** Mean time between two calls. */
const arrivalMs = 25;

export interface SoakLoad {
  readonly seed: number;
  readonly ports: readonly number[];
  readonly keys: readonly string[];
  readonly startedAt: number;
  readonly durationMs: number;
}

/** Sends calls for `durationMs` and returns each with its result. */
export const runCallers = async (load: SoakLoad): Promise<SoakCall[]> => {
  const numbers = new SeededNumbers(load.seed);
  const agent = new Agent({ keepAlive: true, maxSockets: 200 });
  const calls: Promise<SoakCall>[] = [];
  const kinds = Object.values(SoakKind);
  const endsAt = Date.now() + load.durationMs;
  for (let index = 0; Date.now() < endsAt; index += 1) {
    const isKept = numbers.takeBelow(2) === 0;
    calls.push(
      sendCall({
        requestId: `${String(load.seed)}-${String(index)}`,
        kind: numbers.pickOne(kinds),
        key: numbers.pickOne(load.keys),
        port: numbers.pickOne(load.ports),
        agent: isKept ? agent : undefined,
        startedAt: load.startedAt,
      }),
    );
    await waitFor(numbers.takeBelow(2 * arrivalMs));
  }
  const ended = await Promise.all(calls);
  agent.destroy();
  return ended;
};

interface SoakSend {
  readonly requestId: string;
  readonly kind: SoakKind;
  readonly key: string;
  readonly port: number;
  readonly agent: Agent | undefined;
  readonly startedAt: number;
}

const sendCall = (send: SoakSend): Promise<SoakCall> => {
  const body = `body of ${send.requestId}`;
  const sent = {
    requestId: send.requestId,
    kind: send.kind,
    key: send.key,
    body,
    sentAt: Date.now() - send.startedAt,
  };
  return new Promise(resolve => {
    const outgoing = request({
      host: '127.0.0.1',
      port: send.port,
      method: 'POST',
      path: `/${send.kind}/one`,
      agent: send.agent ?? false,
      headers: {
        host: soakHost,
        'x-request-id': send.requestId,
        'x-key': send.key,
        'x-time-remaining': String(callerMs),
      },
    });
    const timer = setTimeout(() => outgoing.destroy(), callerMs);
    const finish = (
      seen: Pick<SoakCall, 'status' | 'answer' | 'isComplete' | 'isSigned'>,
    ): void => {
      clearTimeout(timer);
      resolve({ ...sent, ...seen });
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
