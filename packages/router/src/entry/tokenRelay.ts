/**
 * Delivers tokens to callers.
 *
 * A token must match the request's current attempt, its epoch, and the next
 * index and position. Late, misdirected and duplicate tokens are dropped and
 * counted.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { Token } from '@lycheetally/protocol';
import type { RequestContext } from './requestContext.js';

/** Numbers of tokens since the start of the process. */
export interface TokenCounts {
  delivered: number;
  dropped: number;
}

/** Delivers a token if it is the expected one; drops it otherwise. */
export const deliverToken = (
  context: RequestContext | undefined,
  token: Token,
  counts: TokenCounts,
  now: Milliseconds,
): void => {
  if (!context || !isExpected(context, token)) {
    counts.dropped += 1;
    return;
  }
  counts.delivered += 1;
  context.firstTokenAt ??= now;
  context.lastPosition = token.position;
  context.hasLastToken = token.isEnd;
  context.delivered.push(token.tokenId);
  if (context.attempt) {
    context.attempt.deliveredTokens += 1;
  }
  context.exchange.sendToken(token);
};

const isExpected = (context: RequestContext, token: Token): boolean => {
  const { attempt, lastPosition } = context;
  if (
    attempt?.ref.attempt !== token.attempt ||
    attempt.epoch !== token.epoch ||
    attempt.instance?.isFinal !== false
  ) {
    return false;
  }
  if (token.index !== context.delivered.length) {
    return false;
  }
  return lastPosition === undefined || token.position === lastPosition + 1;
};
