/** JSON requests over Node's `http`. */
import {
  request,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import {
  ByteCollector,
  Err,
  ErrorKind,
  Ok,
  TypedError,
  toMessage,
  type Result,
} from '@lycheetally/common';
import { BodyEndWatch } from './bodyEndWatch.js';
import { findStatusFault } from './messageHead.js';

/** Maximum size of a response body. */
const maxResponseBytes = 16 * 1_024 * 1_024;

export interface JsonRequest {
  readonly method: 'GET' | 'POST';
  readonly url: string;
  readonly body?: unknown;
  /** The body as JSON, if it was formatted before. */
  readonly bodyText?: string;
  readonly timeoutMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly agent?: Agent;
}

/** A status code and the parsed body, which is `undefined` when it is not JSON. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
  /** The `ETag` header, which identifies the version of the body. */
  readonly etag: string | undefined;
}

/** Waits for the head of the answer. Rejects when there is none, also when the server changes the protocol, which Node tells by the close alone, and when its status is none. */
export const readHead = (outgoing: ClientRequest): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    outgoing.on('response', incoming => {
      const fault = findStatusFault(incoming.statusCode ?? 0);
      if (fault === undefined) {
        resolve(incoming);
        return;
      }
      reject(new Error(`the head of the answer is malformed (${fault})`));
      outgoing.destroy();
    });
    outgoing.on('error', reject);
    outgoing.on('close', () => {
      reject(new Error('the connection was closed without an answer'));
    });
  });

/** Reads a body to its end. Rejects when it is larger than the limit, or when its connection is reset before the end. */
export const readBody = async (
  message: IncomingMessage,
  limit: number,
): Promise<Buffer> => {
  const endWatch = new BodyEndWatch(message);
  try {
    const body = await collectBody(message, limit);
    if (endWatch.isCutOff) {
      throw new TypedError(
        ErrorKind.ConnectionLost,
        'the connection was reset before the end of the body',
        'check that the other side runs',
      );
    }
    return body;
  } finally {
    endWatch.dispose();
  }
};

const collectBody = async (
  message: IncomingMessage,
  limit: number,
): Promise<Buffer> => {
  const body = new ByteCollector();
  for await (const chunk of message as AsyncIterable<Buffer>) {
    body.append(chunk);
    if (body.length > limit) {
      throw new TypedError(
        ErrorKind.TooLarge,
        `the body is larger than ${String(limit)} bytes`,
        'send less in one request',
      );
    }
  }
  return body.take();
};

/** Makes one request. Fails with `PlatformUnavailable` on a timeout or a broken connection. */
export const requestJson = async (
  jsonRequest: JsonRequest,
): Promise<Result<JsonResponse>> => {
  try {
    return Ok(await exchangeJson(jsonRequest));
  } catch (thrown) {
    return Err(
      new TypedError(
        ErrorKind.PlatformUnavailable,
        `${jsonRequest.method} ${jsonRequest.url} failed (${toMessage(thrown)})`,
        'check the address in the settings and that the service is up',
      ),
    );
  }
};

const exchangeJson = async (
  jsonRequest: JsonRequest,
): Promise<JsonResponse> => {
  const { body: content, bodyText } = jsonRequest;
  const text =
    bodyText ?? (content === undefined ? '' : JSON.stringify(content));
  const outgoing = request(jsonRequest.url, {
    method: jsonRequest.method,
    headers: { 'content-type': 'application/json', ...jsonRequest.headers },
    signal: AbortSignal.timeout(jsonRequest.timeoutMs),
    ...(jsonRequest.agent ? { agent: jsonRequest.agent } : {}),
  });
  outgoing.end(text);
  const message = await readHead(outgoing);
  const body = await readBody(message, maxResponseBytes);
  return {
    status: message.statusCode ?? 0,
    body: parseJson(body.toString()),
    etag: message.headers.etag,
  };
};

/** Parses JSON; returns `undefined` when the text is not JSON. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};
