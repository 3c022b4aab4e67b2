/** Sends the response to a caller over HTTP, as one body or as server-sent events. */
import type { ServerResponse } from 'node:http';
import { ErrorKind, millisecondsPerSecond } from '@lycheetally/common';
import { Outcome } from '@lycheetally/decisions';
import type { Token } from '@lycheetally/protocol';
import {
  CallerExchange,
  type CallerCall,
  type CallerOutcome,
} from '../ports/callerExchange.js';
import { ResponseFormat } from './parseCall.js';
import { sendJson } from './operatorsHttp.js';

/** The HTTP status of each kind of error. */
const statusByKind: Readonly<Record<ErrorKind, number>> = {
  [ErrorKind.BadSetting]: 500,
  [ErrorKind.BadChart]: 500,
  [ErrorKind.BadAddress]: 500,
  [ErrorKind.BadRequest]: 400,
  [ErrorKind.TooLarge]: 413,
  [ErrorKind.UnknownAccount]: 401,
  [ErrorKind.UnknownService]: 404,
  [ErrorKind.UnknownRank]: 400,
  [ErrorKind.KeyRefused]: 409,
  [ErrorKind.AnswerNotKept]: 409,
  [ErrorKind.NoCapacity]: 503,
  [ErrorKind.PromptPartRefused]: 503,
  [ErrorKind.CallRefused]: 503,
  [ErrorKind.DeadlineExceeded]: 504,
  [ErrorKind.ShuttingDown]: 503,
  [ErrorKind.BackendFailed]: 502,
  [ErrorKind.BackendCrashed]: 502,
  [ErrorKind.ConnectionLost]: 502,
  [ErrorKind.PlatformUnavailable]: 503,
  [ErrorKind.BadMessage]: 502,
  [ErrorKind.ConfigConflict]: 409,
  [ErrorKind.ConfigOutcomeUnknown]: 503,
  [ErrorKind.Usage]: 400,
};

const outcomeHeader = 'x-lycheetally-outcome';

/** Formats the error body of a request that did not complete. */
const formatError = (outcome: CallerOutcome): object => ({
  error: {
    type: outcome.error?.kind ?? 'error',
    message: outcome.error?.message ?? 'the request did not complete',
    remedy: outcome.error?.remedy ?? '',
    outcome: outcome.outcome,
    request_id: outcome.requestId,
  },
});

/** Sends the error response of a request that did not complete, if none was begun. */
export const sendRefusal = (
  response: ServerResponse,
  outcome: CallerOutcome,
): void => {
  if (response.headersSent || response.destroyed) {
    return;
  }
  response.setHeader(outcomeHeader, outcome.outcome);
  if (outcome.retryAfterMs !== undefined) {
    const seconds = Math.ceil(outcome.retryAfterMs / millisecondsPerSecond);
    response.setHeader('retry-after', String(seconds));
  }
  const status = statusByKind[outcome.error?.kind ?? ErrorKind.BackendFailed];
  sendJson(response, status, formatError(outcome));
};

/** The encoded event of a token, without the token's text. */
interface TokenEventTemplate {
  readonly prefix: string;
  readonly suffix: string;
}

export class HttpExchange extends CallerExchange {
  isFinished = false;
  private requestId = '';
  private text = '';
  private tokenEventTemplate: TokenEventTemplate | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly call: CallerCall,
    private readonly format: ResponseFormat,
    private readonly isStream: boolean,
  ) {
    super();
  }

  override get hasLeft(): boolean {
    return this.response.destroyed;
  }

  override handleAccepted(requestId: string): void {
    this.requestId = requestId;
    const shownRequestId = this.call.callerRequestId ?? requestId;
    this.response.setHeader('x-request-id', shownRequestId);
    this.response.setHeader('x-lycheetally-request', requestId);
  }

  override sendToken(token: Token): void {
    if (!this.isStream) {
      this.text += token.text;
      return;
    }
    this.beginStream();
    this.response.write(this.formatTokenEvent(token.text));
  }

  override finish(outcome: CallerOutcome): void {
    this.isFinished = true;
    if (this.response.destroyed) {
      return;
    }
    if (outcome.outcome === Outcome.Complete) {
      this.finishComplete(outcome);
      return;
    }
    if (!this.response.headersSent) {
      sendRefusal(this.response, outcome);
      return;
    }
    this.response.write('event: error\n');
    this.sendEvent(formatError(outcome));
    this.response.addTrailers({ [outcomeHeader]: outcome.outcome });
    this.response.end();
  }

  private finishComplete(outcome: CallerOutcome): void {
    if (this.format === ResponseFormat.Plain) {
      this.finishPlain(outcome);
      return;
    }
    if (this.isStream) {
      this.finishStream(outcome);
      return;
    }
    this.response.setHeader(outcomeHeader, outcome.outcome);
    sendJson(this.response, 200, this.formatBody(outcome));
  }

  private finishPlain(outcome: CallerOutcome): void {
    this.response.setHeader(outcomeHeader, outcome.outcome);
    this.response.statusCode = outcome.plain?.status ?? 200;
    if (outcome.plain?.contentType) {
      this.response.setHeader('content-type', outcome.plain.contentType);
    }
    this.response.end(outcome.plain?.body);
  }

  private finishStream(outcome: CallerOutcome): void {
    this.beginStream();
    this.sendEvent({
      ...this.formatChunk('', outcome.finishReason ?? 'stop'),
      usage: formatUsage(outcome),
      lycheetally: { outcome: outcome.outcome },
    });
    this.response.addTrailers({ [outcomeHeader]: outcome.outcome });
    this.response.end('data: [DONE]\n\n');
  }

  private beginStream(): void {
    if (this.response.headersSent) {
      return;
    }
    this.response.setHeader('content-type', 'text/event-stream');
    this.response.setHeader('cache-control', 'no-store');
    this.response.setHeader('trailer', outcomeHeader);
    this.response.flushHeaders();
  }

  private sendEvent(data: object): void {
    this.response.write(`data: ${JSON.stringify(data)}\n\n`);
  }

  // Only the text differs from token to token, so the rest is encoded once.
  private formatTokenEvent(text: string): string {
    this.tokenEventTemplate ??= this.encodeTokenEventTemplate();
    const { prefix, suffix } = this.tokenEventTemplate;
    return `${prefix}${JSON.stringify(text)}${suffix}`;
  }

  private encodeTokenEventTemplate(): TokenEventTemplate {
    const placeholder = '\u0000';
    const event = `data: ${JSON.stringify(this.formatChunk(placeholder, null))}\n\n`;
    const [prefix, suffix] = event.split(JSON.stringify(placeholder));
    return { prefix: prefix ?? '', suffix: suffix ?? '' };
  }

  private formatChunk(text: string, finishReason: string | null): object {
    const isChat = this.format === ResponseFormat.Chat;
    const content = isChat ? { delta: { content: text } } : { text };
    return {
      id: this.requestId,
      object: isChat ? 'chat.completion.chunk' : 'text_completion',
      model: this.call.service,
      choices: [{ index: 0, ...content, finish_reason: finishReason }],
    };
  }

  private formatBody(outcome: CallerOutcome): object {
    const isChat = this.format === ResponseFormat.Chat;
    const content = isChat
      ? { message: { role: 'assistant', content: this.text } }
      : { text: this.text };
    return {
      id: this.requestId,
      object: isChat ? 'chat.completion' : 'text_completion',
      model: this.call.service,
      choices: [
        { index: 0, ...content, finish_reason: outcome.finishReason ?? 'stop' },
      ],
      usage: formatUsage(outcome),
    };
  }
}

const formatUsage = (outcome: CallerOutcome): object => ({
  prompt_tokens: outcome.promptTokens ?? 0,
  completion_tokens: outcome.generatedTokens ?? 0,
  total_tokens: (outcome.promptTokens ?? 0) + (outcome.generatedTokens ?? 0),
});
