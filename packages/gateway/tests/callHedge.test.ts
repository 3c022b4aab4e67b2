/** Of two runs of a call one alone answers, also before the loop has cancelled the other. */
import { describe, expect, it, vi } from 'vitest';
import {
  claimAnswer,
  dropAttempt,
  hasLivingRun,
  isAnswering,
} from '../src/calls/callHedge.js';
import type { GatewayAttempt } from '../src/attempt/gatewayAttempt.js';
import type { GatewayCall } from '../src/calls/gatewayCall.js';

const createCall = (): {
  call: GatewayCall;
  first: GatewayAttempt;
  second: GatewayAttempt;
  postCompletion: ReturnType<typeof vi.fn>;
} => {
  const postCompletion = vi.fn();
  const call = {
    services: { postCompletion, metrics: { countHedge: vi.fn() } },
  } as unknown as GatewayCall;
  const first = { call } as unknown as GatewayAttempt;
  const second = { call } as unknown as GatewayAttempt;
  Object.assign(call, { attempt: first, hedge: second });
  return { call, first, second, postCompletion };
};

describe('two runs of a call', () => {
  // Guards against events of both runs in one answer.
  it('do not both deliver', () => {
    const { first, second, postCompletion } = createCall();
    expect(claimAnswer(second)).toBe(true);
    expect(claimAnswer(first)).toBe(false);
    expect(isAnswering(first)).toBe(false);
    expect(claimAnswer(second)).toBe(true);
    expect(postCompletion).toHaveBeenCalledTimes(1);
  });

  // Guards against comments of a run that may be cancelled.
  it('deliver nothing before one of them has the call', () => {
    const { first, second } = createCall();
    expect(isAnswering(first)).toBe(false);
    expect(isAnswering(second)).toBe(false);
  });

  // Guards against a stream that is cut by the error of the run that lost.
  it('count as living while they deliver, whatever was thought of their server', () => {
    const { first, second } = createCall();
    Object.assign(first, { chosen: { first: { isSilent: true } } });
    expect(hasLivingRun(first.call, second)).toBe(false);
    claimAnswer(first);
    expect(hasLivingRun(first.call, second)).toBe(true);
  });

  // Guards against a call that ends with the first of its runs to fail.
  it('leave the call to the other when one ends', () => {
    const { call, first, second, postCompletion } = createCall();
    dropAttempt(call, first);
    expect(call.attempt).toBe(second);
    expect(claimAnswer(first)).toBe(false);
    expect(claimAnswer(second)).toBe(true);
    expect(postCompletion).not.toHaveBeenCalled();
  });
});
