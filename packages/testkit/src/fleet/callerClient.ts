/** HTTP client that calls an entry, for tests and benchmarks. */
import { request, Agent, type IncomingMessage } from 'node:http';
import { computeCompletion, formatTokens } from '../standIns/modelMath.js';
import { fleetNames, getAccountKey } from './routerFleet.js';

/** Options of a single call. */
export interface CallOptions {
  readonly account?: string;
  readonly rank?: string;
  readonly deadlineMs?: number;
  readonly idempotencyKey?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Called after each token with the text received so far. */
  readonly handleToken?: (text: string) => void;
  /** Closes the connection when aborted. */
  readonly signal?: AbortSignal;
}

/** What the caller received for one call. */
export interface CallerAnswer {
  readonly status: number;
  /** Request id that the entry assigned; `undefined` if the response has none. */
  readonly requestId: string | undefined;
  /** Outcome that the response states; `undefined` if the connection broke first. */
  readonly outcome: string | undefined;
  readonly text: string;
  readonly body: unknown;
  readonly isDone: boolean;
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
}

interface SseState {
  text: string;
  error: unknown;
  isDone: boolean;
  firstTokenMs: number | undefined;
}

const agent = new Agent({ keepAlive: false });

/** Streams a completion of the fleet's model. */
export const streamCompletion = (
  entryUrl: string,
  prompt: string,
  maxTokens: number,
  options: CallOptions = {},
): Promise<CallerAnswer> =>
  exchange(`${entryUrl}/v1/completions`, 'POST', options, {
    model: fleetNames.model,
    prompt,
    max_tokens: maxTokens,
    stream: true,
  });

/** Calls a plain service. */
export const callService = (
  entryUrl: string,
  service: string,
  path: string,
  body: unknown,
  options: CallOptions = {},
): Promise<CallerAnswer> =>
  exchange(`${entryUrl}/v1/services/${service}${path}`, 'POST', options, body);

/** Computes the text that a correct completion has. */
export const computeExpectedText = (
  prompt: string,
  maxTokens: number,
  layers: number,
): string => formatTokens(computeCompletion(prompt, maxTokens, layers));

const exchange = async (
  url: string,
  method: string,
  options: CallOptions,
  body: unknown,
): Promise<CallerAnswer> => {
  const startedAt = Date.now();
  const response = await sendRequest(url, method, options, body);
  const state: SseState = {
    text: '',
    error: undefined,
    isDone: false,
    firstTokenMs: undefined,
  };
  const raw = await readAll(response, chunk => {
    handleEvent(chunk, state, startedAt, options.handleToken);
  });
  const isStream = response.headers['content-type'] === 'text/event-stream';
  return {
    status: response.statusCode ?? 0,
    requestId: readHeader(response, 'x-lycheetally-request'),
    outcome: readHeader(response, 'x-lycheetally-outcome'),
    text: state.text,
    body: isStream ? state.error : parseOrUndefined(raw),
    isDone: state.isDone,
    firstTokenMs: state.firstTokenMs,
    totalMs: Date.now() - startedAt,
  };
};

const sendRequest = (
  url: string,
  method: string,
  options: CallOptions,
  body: unknown,
): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    const outgoing = request(
      url,
      {
        method,
        agent,
        headers: formatHeaders(options),
        ...(options.signal ? { signal: options.signal } : {}),
      },
      resolve,
    );
    outgoing.on('error', reject);
    outgoing.end(JSON.stringify(body));
  });

const formatHeaders = (options: CallOptions): Record<string, string> => ({
  'content-type': 'application/json',
  authorization: `Bearer ${getAccountKey(options.account ?? fleetNames.accounts[0])}`,
  'x-lycheetally-rank': options.rank ?? fleetNames.ranks[0],
  ...(options.deadlineMs === undefined
    ? {}
    : { 'x-lycheetally-deadline-ms': String(options.deadlineMs) }),
  ...(options.idempotencyKey === undefined
    ? {}
    : { 'idempotency-key': options.idempotencyKey }),
  ...options.headers,
});

const readAll = async (
  response: IncomingMessage,
  receiveEvent: (event: string) => void,
): Promise<string> => {
  let raw = '';
  let incompleteEvent = '';
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      raw += chunk.toString('utf8');
      incompleteEvent += chunk.toString('utf8');
      const events = incompleteEvent.split('\n\n');
      incompleteEvent = events.pop() ?? '';
      events.forEach(receiveEvent);
    }
  } catch {
    // The connection broke, so the answer has no outcome.
  }
  return raw;
};

const handleEvent = (
  event: string,
  state: SseState,
  startedAt: number,
  handleToken: CallOptions['handleToken'],
): void => {
  const data = /^data: (.*)$/m.exec(event)?.[1];
  if (data === undefined) {
    return;
  }
  if (data === '[DONE]') {
    state.isDone = true;
    return;
  }
  const parsed = parseOrUndefined(data) as { choices?: { text?: string }[] };
  if (event.startsWith('event: error')) {
    state.error = parsed;
    return;
  }
  state.firstTokenMs ??= Date.now() - startedAt;
  const text = parsed.choices?.[0]?.text ?? '';
  state.text += text;
  if (text !== '') {
    handleToken?.(state.text);
  }
};

const readHeader = (
  response: IncomingMessage,
  name: string,
): string | undefined => {
  const value = response.headers[name] ?? response.trailers[name];
  return Array.isArray(value) ? value[0] : value;
};

const parseOrUndefined = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};
