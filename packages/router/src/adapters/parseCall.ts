/** Parses callers' HTTP requests: OpenAI chats and completions, and calls of plain services. */
import type { IncomingHttpHeaders } from 'node:http';
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';
import { z } from 'zod';
import {
  defaultMaxTokens,
  maxDeadlineMs,
  maxTokensPerRequest,
} from '../constants.js';
import type { CallerCall } from '../ports/callerExchange.js';
import { parseJson } from '@lycheetally/node';

/** The format of the response to a caller. */
export const ResponseFormat = {
  Chat: 'chat',
  Completion: 'completion',
  Plain: 'plain',
} as const;
export type ResponseFormat =
  (typeof ResponseFormat)[keyof typeof ResponseFormat];

/** A call and the format of its response. */
export interface ParsedCall {
  readonly call: CallerCall;
  readonly format: ResponseFormat;
  readonly isStream: boolean;
}

/** The parts of an HTTP request that a call is parsed from. */
export interface CallerHttpRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

const tokensSchema = z.int().min(1).max(maxTokensPerRequest);

const chatSchema = z.object({
  model: z.string().min(1),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  max_tokens: tokensSchema.default(defaultMaxTokens),
  stream: z.boolean().default(false),
});

const completionSchema = z.object({
  model: z.string().min(1),
  prompt: z.string().min(1),
  max_tokens: tokensSchema.default(defaultMaxTokens),
  stream: z.boolean().default(false),
});

const createBadRequestError = (fault: string, remedy: string): TypedError =>
  new TypedError(ErrorKind.BadRequest, fault, remedy);

const maxHeaderLength = 256;

/** Parses a call. Fails with `BadRequest` or `UnknownService`. */
export const parseCall = (http: CallerHttpRequest): Result<ParsedCall> => {
  const { pathname } = http.url;
  if (pathname.startsWith('/v1/services/')) {
    return parsePlainCall(http);
  }
  if (http.method === 'POST' && pathname === '/v1/chat/completions') {
    return parseChatCall(http);
  }
  if (http.method === 'POST' && pathname === '/v1/completions') {
    return parseCompletionCall(http);
  }
  return Err(
    new TypedError(
      ErrorKind.UnknownService,
      `${http.method} ${pathname} does not exist`,
      'use POST /v1/chat/completions, POST /v1/completions, GET /v1/models or /v1/services/{service}/{path}',
    ),
  );
};

const parseChatCall = (http: CallerHttpRequest): Result<ParsedCall> =>
  parseBody(http.body, chatSchema).andThen(body =>
    parseCommonFields(http).map(common => ({
      call: {
        ...common,
        service: body.model,
        model: {
          prompt: body.messages
            .map(message => `${message.role}: ${message.content}`)
            .join('\n'),
          maxTokens: body.max_tokens,
          generated: [],
        },
      },
      format: ResponseFormat.Chat,
      isStream: body.stream,
    })),
  );

const parseCompletionCall = (http: CallerHttpRequest): Result<ParsedCall> =>
  parseBody(http.body, completionSchema).andThen(body =>
    parseCommonFields(http).map(common => ({
      call: {
        ...common,
        service: body.model,
        model: {
          prompt: body.prompt,
          maxTokens: body.max_tokens,
          generated: [],
        },
      },
      format: ResponseFormat.Completion,
      isStream: body.stream,
    })),
  );

const parsePlainCall = (http: CallerHttpRequest): Result<ParsedCall> => {
  const match = /^\/v1\/services\/([^/]+)(\/.*)?$/.exec(http.url.pathname);
  return parseCommonFields(http).map(common => ({
    call: {
      ...common,
      service: match?.[1] ?? '',
      plain: {
        method: http.method,
        path: `${match?.[2] ?? '/'}${http.url.search}`,
        contentType: http.headers['content-type'] ?? '',
        body: http.body,
      },
    },
    format: ResponseFormat.Plain,
    isStream: false,
  }));
};

const parseBody = <T extends z.ZodType>(
  body: Buffer,
  schema: T,
): Result<z.output<T>> => {
  const parsed = schema.safeParse(parseJson(body.toString('utf8')));
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const faults = parsed.error.issues.map(
    issue => `${issue.path.map(String).join('.') || 'body'}: ${issue.message}`,
  );
  return Err(
    createBadRequestError(
      faults.join(', '),
      'send a JSON body in the OpenAI format',
    ),
  );
};

type CommonFields = Omit<CallerCall, 'service' | 'model' | 'plain'>;

const parseCommonFields = (http: CallerHttpRequest): Result<CommonFields> => {
  const deadline = readHeader(http.headers, 'x-lycheetally-deadline-ms');
  const deadlineMs = deadline === undefined ? undefined : Number(deadline);
  if (deadlineMs !== undefined && !isValidDeadline(deadlineMs)) {
    return Err(
      createBadRequestError(
        'X-Lycheetally-Deadline-Ms is not valid',
        `send an integer number of milliseconds from 1 to ${String(maxDeadlineMs)}`,
      ),
    );
  }
  const names = ['x-request-id', 'idempotency-key', 'x-lycheetally-rank'];
  const invalidHeader = names.find(name => !isValidHeader(http.headers, name));
  if (invalidHeader !== undefined) {
    return Err(
      createBadRequestError(
        `header ${invalidHeader} is not valid`,
        `send 1 to ${String(maxHeaderLength)} printable ASCII characters`,
      ),
    );
  }
  return Ok({
    callerRequestId: readHeader(http.headers, 'x-request-id'),
    bearerKey: readBearerKey(http.headers),
    rank: readHeader(http.headers, 'x-lycheetally-rank'),
    deadlineMs,
    idempotencyKey: readHeader(http.headers, 'idempotency-key'),
  });
};

/** Reads from the headers what can be recorded of a call that is refused. */
export const parseRefusedCall = (
  headers: IncomingHttpHeaders,
): Pick<CallerCall, 'bearerKey' | 'callerRequestId' | 'service'> => ({
  bearerKey: readBearerKey(headers),
  callerRequestId: isValidHeader(headers, 'x-request-id')
    ? readHeader(headers, 'x-request-id')
    : undefined,
  service: '',
});

const readBearerKey = (headers: IncomingHttpHeaders): string =>
  /^Bearer (.+)$/i.exec(readHeader(headers, 'authorization') ?? '')?.[1] ?? '';

const isValidDeadline = (value: number): boolean =>
  Number.isInteger(value) && value >= 1 && value <= maxDeadlineMs;

const isValidHeader = (headers: IncomingHttpHeaders, name: string): boolean => {
  const value = readHeader(headers, name);
  return (
    value === undefined ||
    (value.length <= maxHeaderLength && /^[\x20-\x7e]+$/.test(value))
  );
};

const readHeader = (
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
};
