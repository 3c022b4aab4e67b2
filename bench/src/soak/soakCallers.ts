/**
 * Callers of a soak. Half of the calls use keep-alive connections, which stay
 * open until the gateway process ends; sessions send each call as soon as the
 * one before it has ended, on the same connection.
 */
import { Agent, request } from 'node:http';
import { SeededRandom, waitFor } from '@lycheetally/testkit';
import { SoakKind, type SoakCall } from './types.js';

/** Host of the routes that the soak configures. */
export const soakHost = 'soak.example';

/** Milliseconds after which a caller gives up on a call. */
const callTimeoutMs = 4_000;

/** Events of a stream. */
export const streamEvents = 20;

/** Steps of a call that is repeated. */
const repeatedSteps = 2;

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
    const kind = random.pickOne(kinds);
    calls.push(
      sendCall({
        requestId: `${String(load.seed)}-${String(index)}`,
        kind,
        steps: kind === SoakKind.Stream ? streamEvents : 0,
        timeoutMs: callTimeoutMs,
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

export interface RepeatedCall {
  readonly kind: SoakKind;
  readonly body: string;
  /** Time between an answer and the next call, in milliseconds. */
  readonly pauseMs: number;
}

/** Repeats one call at the gateways in turn for `durationMs`. */
export const runRepeatedCall = async (
  { seed, ports, keys, startedAt, durationMs }: SoakLoad,
  { kind, body, pauseMs }: RepeatedCall,
): Promise<SoakCall[]> => {
  const endsAt = Date.now() + durationMs;
  const calls: SoakCall[] = [];
  for (let index = 0; Date.now() < endsAt; index += 1) {
    const call = await sendCall({
      requestId: `${String(seed)}-repeated-${String(index)}`,
      kind,
      body,
      steps: repeatedSteps,
      timeoutMs: callTimeoutMs,
      key: keys[0] ?? '',
      port: ports[index % ports.length] ?? 0,
      agent: undefined,
      startedAt,
    });
    calls.push(call);
    await waitFor(pauseMs);
  }
  return calls;
};

/** Sessions with each gateway. */
const sessionsPerGateway = 12;

/** Steps of the calls of sessions; the longest exceed the time that a gateway has left late in its drain. */
const sessionSteps: readonly number[] = [4, 20, 60, 110];

/** Steps of streams of which most are short and some last longer than a grace period. */
export const mixedStreamSteps: readonly number[] = [4, 20, 60, 240];

/** Steps of calls that end before a gateway's drain timeout even if their server pauses. */
export const shortSteps: readonly number[] = [4, 20, 50];

/** Steps of a look-up; its answer comes within the latency target, after which it would run again. */
const lookupSteps = 4;

const sessionKinds: readonly SoakKind[] = [
  SoakKind.Stream,
  SoakKind.Stream,
  ...Object.values(SoakKind),
];

/** Milliseconds after which a session gives up on a call; longer than any call takes. */
const sessionTimeoutMs = 16_000;

/** Pause of a session after a call that was not served, in milliseconds. */
const sessionRetryMs = 100;

/** Runs sessions for `durationMs` and returns their calls. */
export const runSessions = async (
  load: SoakLoad,
  streamSteps = sessionSteps,
  bookingSteps = sessionSteps,
): Promise<SoakCall[]> => {
  const sessions = load.ports.flatMap((port, gateway) =>
    Array.from({ length: sessionsPerGateway }, (_, index) =>
      runSession(load, port, gateway * sessionsPerGateway + index, {
        streamSteps,
        bookingSteps,
      }),
    ),
  );
  return (await Promise.all(sessions)).flat();
};

interface SessionSteps {
  readonly streamSteps: readonly number[];
  readonly bookingSteps: readonly number[];
}

const runSession = async (
  load: SoakLoad,
  port: number,
  session: number,
  { streamSteps, bookingSteps }: SessionSteps,
): Promise<SoakCall[]> => {
  const name = `${String(load.seed)}-${String(session)}`;
  const random = new SeededRandom(load.seed * 1_000 + session);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const endsAt = Date.now() + load.durationMs;
  const calls: SoakCall[] = [];
  while (Date.now() < endsAt) {
    const kind = random.pickOne(sessionKinds);
    const isStream = kind === SoakKind.Stream;
    const steps = random.pickOne(isStream ? streamSteps : bookingSteps);
    const call = await sendCall({
      requestId: `${name}-${String(calls.length)}`,
      kind,
      steps: kind === SoakKind.Lookup ? lookupSteps : steps,
      timeoutMs: sessionTimeoutMs,
      key: random.pickOne(load.keys),
      port,
      agent,
      startedAt: load.startedAt,
    });
    calls.push(call);
    await waitFor(call.status === 200 ? 0 : sessionRetryMs);
  }
  agent.destroy();
  return calls;
};

export interface PlannedCall {
  readonly requestId: string;
  /** A body that names the call if absent. */
  readonly body?: string;
  readonly kind: SoakKind;
  readonly steps: number;
  readonly timeoutMs: number;
  readonly key: string;
  readonly port: number;
  readonly agent: Agent | undefined;
  readonly startedAt: number;
  /** The stream that the call resumes, if it does. */
  readonly resumed?: Pick<SoakCall, 'streamId' | 'afterEvent'>;
}

const noAnswer = {
  status: 0,
  answer: '',
  isComplete: false,
  signature: '',
  saidLeaving: false,
};

export const sendCall = (planned: PlannedCall): Promise<SoakCall> => {
  const body = planned.body ?? `body of ${planned.requestId}`;
  const getNow = (): number => Date.now() - planned.startedAt;
  const sent = {
    requestId: planned.requestId,
    kind: planned.kind,
    steps: planned.steps,
    key: planned.key,
    port: planned.port,
    body,
    streamId: planned.requestId,
    afterEvent: 0,
    ...planned.resumed,
    sentAt: getNow(),
  };
  return new Promise(resolve => {
    const outgoing = request({
      host: '127.0.0.1',
      port: planned.port,
      method: 'POST',
      path: `/${planned.kind}/${String(planned.steps)}`,
      agent: planned.agent ?? false,
      headers: {
        host: soakHost,
        'x-request-id': planned.requestId,
        'x-key': planned.key,
        'x-time-remaining': String(planned.timeoutMs),
        ...formatResume(sent.afterEvent),
      },
    });
    const timer = setTimeout(() => outgoing.destroy(), planned.timeoutMs);
    let bodySentAt: number | undefined;
    outgoing.on('finish', () => {
      bodySentAt = getNow();
    });
    const finish = (
      result: Pick<
        SoakCall,
        'status' | 'answer' | 'isComplete' | 'signature' | 'saidLeaving'
      >,
    ): void => {
      clearTimeout(timer);
      resolve({ ...sent, bodySentAt, endedAt: getNow(), ...result });
    };
    outgoing.on('error', () => {
      finish(noAnswer);
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
          signature: String(incoming.headers['x-response-signature'] ?? ''),
          saidLeaving: incoming.headers['server-leaving'] !== undefined,
        });
      });
    });
    outgoing.end(body);
  });
};

const formatResume = (afterEvent: number): Record<string, string> =>
  afterEvent > 0 ? { 'last-event-id': String(afterEvent) } : {};
