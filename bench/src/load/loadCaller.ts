/** Sends planned requests and records their responses. */
import { Agent, request, type IncomingMessage } from 'node:http';
import type { ValueOf } from '@lycheetally/common';
import { Outcome } from '@lycheetally/decisions';
import { isRecord } from '@lycheetally/common';
import { parseJson } from '@lycheetally/router';
import type { Traffic } from './experiment.js';

/** How a request ended for its caller. */
export const Ending = {
  ...Outcome,
  /** The connection broke before the caller received an outcome. */
  Lost: 'lost',
  /** The connection to the entry could not be opened. */
  Unreached: 'unreached',
} as const;
export type Ending = ValueOf<typeof Ending>;

/** A request to send. */
export interface LoadRequest {
  readonly entryUrl: string;
  readonly callerRequestId: string;
  readonly bearerKey: string;
  readonly traffic: Traffic;
}

/** The response as its caller received it; times are from `performance.now()`. */
export interface LoadAnswer {
  readonly ending: Ending;
  readonly status: number;
  readonly errorKind: string;
  readonly tokens: number;
  readonly firstTokenAt: number | undefined;
  readonly endedAt: number;
}

/** Milliseconds after the deadline at which the caller gives up. */
const deadlineGraceMs = 15_000;

const outcomeHeader = 'x-lycheetally-outcome';
const outcomes: ReadonlySet<string> = new Set(Object.values(Outcome));

/** What was read from a response so far. */
interface AnswerState {
  tokens: number;
  outcome: string | undefined;
  errorKind: string;
  firstTokenAt: number | undefined;
}

export class LoadCaller {
  private readonly agent = new Agent({ keepAlive: true });

  /** Sends a request; never rejects. */
  async send(load: LoadRequest): Promise<LoadAnswer> {
    const state: AnswerState = {
      tokens: 0,
      outcome: undefined,
      errorKind: '',
      firstTokenAt: undefined,
    };
    let response: IncomingMessage;
    try {
      response = await this.open(load);
    } catch (thrown) {
      return finishAnswer(state, 0, readConnectError(thrown));
    }
    try {
      await readResponseBody(response, state);
    } catch {
      return finishAnswer(state, response.statusCode ?? 0, Ending.Lost);
    }
    const outcome =
      state.outcome ??
      readOutcome(response.headers[outcomeHeader]) ??
      readOutcome(response.trailers[outcomeHeader]);
    const ending = outcomes.has(outcome ?? '')
      ? (outcome as Ending)
      : Ending.Lost;
    return finishAnswer(state, response.statusCode ?? 0, ending);
  }

  dispose(): void {
    this.agent.destroy();
  }

  private open(load: LoadRequest): Promise<IncomingMessage> {
    const { traffic } = load;
    return new Promise((resolve, reject) => {
      const outgoing = request(
        `${load.entryUrl}${formatPath(traffic)}`,
        {
          method: 'POST',
          agent: this.agent,
          headers: formatHeaders(load),
          signal: AbortSignal.timeout(traffic.deadlineMs + deadlineGraceMs),
        },
        resolve,
      );
      outgoing.on('error', reject);
      outgoing.end(JSON.stringify(createBody(load)));
    });
  }
}

const formatPath = (traffic: Traffic): string =>
  traffic.kind === 'model'
    ? '/v1/completions'
    : `/v1/services/${encodeURIComponent(traffic.service)}${traffic.path}`;

const formatHeaders = (load: LoadRequest): Record<string, string> => ({
  'content-type': 'application/json',
  authorization: `Bearer ${load.bearerKey}`,
  'x-request-id': load.callerRequestId,
  'x-lycheetally-rank': load.traffic.rank,
  'x-lycheetally-deadline-ms': String(load.traffic.deadlineMs),
  ...(load.traffic.keyed === 'yes'
    ? { 'idempotency-key': load.callerRequestId }
    : {}),
});

const createBody = (load: LoadRequest): object =>
  load.traffic.kind === 'model'
    ? {
        model: load.traffic.service,
        prompt: `request ${load.callerRequestId}`,
        max_tokens: load.traffic.tokens,
        stream: true,
      }
    : { request: load.callerRequestId };

const unreachableCodes: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

const readConnectError = (thrown: unknown): Ending =>
  isRecord(thrown) && unreachableCodes.has(thrown.code)
    ? Ending.Unreached
    : Ending.Lost;

const readResponseBody = async (
  response: IncomingMessage,
  state: AnswerState,
): Promise<void> => {
  const isStream = response.headers['content-type'] === 'text/event-stream';
  response.setEncoding('utf8');
  let buffer = '';
  for await (const chunk of response as AsyncIterable<string>) {
    buffer += chunk;
    if (isStream) {
      const events = buffer.split('\n\n');
      buffer = events.pop() ?? '';
      events.forEach(event => {
        readEvent(event, state);
      });
    }
  }
  if (!isStream) {
    readErrorBody(parseJson(buffer), state);
  }
};

const readEvent = (event: string, state: AnswerState): void => {
  const data = /^data: (.*)$/m.exec(event)?.[1];
  const body = data === undefined ? undefined : parseJson(data);
  if (!isRecord(body)) {
    return;
  }
  readErrorBody(body, state);
  const choices: unknown = body.choices;
  const choice: unknown = Array.isArray(choices) ? choices[0] : undefined;
  if (isRecord(choice) && choice.finish_reason === null) {
    state.tokens += 1;
    state.firstTokenAt ??= performance.now();
  }
  if (isRecord(body.lycheetally)) {
    state.outcome = String(body.lycheetally.outcome);
  }
};

const readErrorBody = (body: unknown, state: AnswerState): void => {
  if (isRecord(body) && isRecord(body.error)) {
    state.errorKind = String(body.error.type);
    state.outcome = String(body.error.outcome);
  }
};

const readOutcome = (
  value: string | readonly string[] | undefined,
): string | undefined => (typeof value === 'string' ? value : value?.[0]);

const finishAnswer = (
  state: AnswerState,
  status: number,
  ending: Ending,
): LoadAnswer => ({
  ending,
  status,
  errorKind: state.errorKind,
  tokens: state.tokens,
  firstTokenAt: state.firstTokenAt,
  endedAt: performance.now(),
});
