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
export const AnswerForm = {
  Chat: 'chat',
  Completion: 'completion',
  Plain: 'plain',
} as const;
export type AnswerForm = (typeof AnswerForm)[keyof typeof AnswerForm];

/** A call and the format of its response. */
export interface FormedCall {
  readonly call: CallerCall;
  readonly form: AnswerForm;
  readonly isStream: boolean;
}

/** The parts of an HTTP request that a call is parsed from. */
export interface HttpCall {
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

const createBadRequest = (fault: string, remedy: string): TypedError =>
  new TypedError(ErrorKind.BadRequest, fault, remedy);

const maxHeaderLength = 256;

/** Parses a call. Fails with `BadRequest` or `UnknownService`. */
export const readCall = (http: HttpCall): Result<FormedCall> => {
  const { pathname } = http.url;
  if (pathname.startsWith('/v1/services/')) {
    return readPlainCall(http);
  }
  if (http.method === 'POST' && pathname === '/v1/chat/completions') {
    return readChatCall(http);
  }
  if (http.method === 'POST' && pathname === '/v1/completions') {
    return readCompletionCall(http);
  }
  return Err(
    new TypedError(
      ErrorKind.UnknownService,
      `${http.method} ${pathname} does not exist`,
      'use POST /v1/chat/completions, POST /v1/completions, GET /v1/models or /v1/services/{service}/{path}',
    ),
  );
};

const readChatCall = (http: HttpCall): Result<FormedCall> =>
  parseBody(http.body, chatSchema).andThen(body =>
    readCommon(http).map(common => ({
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
      form: AnswerForm.Chat,
      isStream: body.stream,
    })),
  );

const readCompletionCall = (http: HttpCall): Result<FormedCall> =>
  parseBody(http.body, completionSchema).andThen(body =>
    readCommon(http).map(common => ({
      call: {
        ...common,
        service: body.model,
        model: {
          prompt: body.prompt,
          maxTokens: body.max_tokens,
          generated: [],
        },
      },
      form: AnswerForm.Completion,
      isStream: body.stream,
    })),
  );

const readPlainCall = (http: HttpCall): Result<FormedCall> => {
  const match = /^\/v1\/services\/([^/]+)(\/.*)?$/.exec(http.url.pathname);
  return readCommon(http).map(common => ({
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
    form: AnswerForm.Plain,
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
    createBadRequest(
      faults.join(', '),
      'send a JSON body in the OpenAI format',
    ),
  );
};

type CommonCall = Omit<CallerCall, 'service' | 'model' | 'plain'>;

const readCommon = (http: HttpCall): Result<CommonCall> => {
  const deadline = readHeader(http.headers, 'x-lycheetally-deadline-ms');
  const deadlineMs = deadline === undefined ? undefined : Number(deadline);
  if (deadlineMs !== undefined && !isDeadline(deadlineMs)) {
    return Err(
      createBadRequest(
        'X-Lycheetally-Deadline-Ms is not valid',
        `send an integer number of milliseconds from 1 to ${String(maxDeadlineMs)}`,
      ),
    );
  }
  const names = ['x-request-id', 'idempotency-key', 'x-lycheetally-rank'];
  const bad = names.find(name => !isCleanHeader(http.headers, name));
  if (bad !== undefined) {
    return Err(
      createBadRequest(
        `header ${bad} is not valid`,
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
export const readRefusedCall = (
  headers: IncomingHttpHeaders,
): Pick<CallerCall, 'bearerKey' | 'callerRequestId' | 'service'> => ({
  bearerKey: readBearerKey(headers),
  callerRequestId: isCleanHeader(headers, 'x-request-id')
    ? readHeader(headers, 'x-request-id')
    : undefined,
  service: '',
});

const readBearerKey = (headers: IncomingHttpHeaders): string =>
  /^Bearer (.+)$/i.exec(readHeader(headers, 'authorization') ?? '')?.[1] ?? '';

const isDeadline = (value: number): boolean =>
  Number.isInteger(value) && value >= 1 && value <= maxDeadlineMs;

const isCleanHeader = (headers: IncomingHttpHeaders, name: string): boolean => {
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
