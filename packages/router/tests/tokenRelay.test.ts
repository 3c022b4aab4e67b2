/** Late, misdirected and duplicate tokens are dropped and counted. */
import { describe, expect, it } from 'vitest';
import type { Token } from '@lycheetally/protocol';
import { deliverToken } from '../src/entry/tokenRelay.js';
import type { RequestContext } from '../src/entry/requestContext.js';

const now = 1_000;

const expected: Token = {
  requestId: 'request',
  attempt: 2,
  epoch: 2,
  position: 7,
  tokenId: 40,
  text: ' t40',
  isEnd: false,
  index: 3,
};

/** Creates a request whose second attempt runs and whose caller has received three tokens. */
const createContext = (isFinal: boolean, sent: Token[]): RequestContext =>
  ({
    attempt: {
      ref: { requestId: 'request', attempt: 2 },
      epoch: 2,
      instance: { isFinal },
      deliveredTokens: 0,
    },
    delivered: [10, 20, 30],
    lastPosition: 6,
    hasLastToken: false,
    exchange: {
      sendToken: (token: Token) => {
        sent.push(token);
      },
    },
  }) as unknown as RequestContext;

const deliverTo = (
  tokens: readonly Token[],
  isFinal = false,
): { sent: Token[]; delivered: number; dropped: number } => {
  const sent: Token[] = [];
  const counts = { delivered: 0, dropped: 0 };
  const context = createContext(isFinal, sent);
  tokens.forEach(token => {
    deliverToken(context, token, counts, now);
  });
  return { sent, ...counts };
};

describe('deliverToken', () => {
  it('delivers the expected token', () => {
    const next = { ...expected, index: 4, position: 8 };
    const result = deliverTo([expected, next]);
    expect(result).toEqual({
      sent: [expected, next],
      delivered: 2,
      dropped: 0,
    });
  });

  it('drops a duplicate token', () => {
    const result = deliverTo([expected, expected]);
    expect(result).toEqual({ sent: [expected], delivered: 1, dropped: 1 });
  });

  it.each<[string, Partial<Token>]>([
    ['of an earlier attempt', { attempt: 1 }],
    ['of another epoch', { epoch: 1 }],
    ['of an earlier index', { index: 2, position: 6 }],
    ['that skips an index', { index: 4, position: 8 }],
    ['with the expected index and another position', { position: 8 }],
    ['with the expected position and another index', { index: 4 }],
  ])('drops a token %s', (_, change) => {
    const result = deliverTo([{ ...expected, ...change }]);
    expect(result).toEqual({ sent: [], delivered: 0, dropped: 1 });
  });

  it('drops a token of an attempt that has ended', () => {
    expect(deliverTo([expected], true).dropped).toBe(1);
  });

  it('drops a token of an unknown request', () => {
    const counts = { delivered: 0, dropped: 0 };
    deliverToken(undefined, expected, counts, now);
    expect(counts.dropped).toBe(1);
  });
});
