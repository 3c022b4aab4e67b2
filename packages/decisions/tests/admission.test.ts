/** Admission by limits, costs, deadlines and overload, and the retry budget. */
import { ErrorKind } from '@lycheetally/common';
import { describe, expect, it } from 'vitest';
import {
  BoundedRetry,
  BudgetedRetry,
  BusyError,
  RateLimitedAdmission,
  ServiceKind,
  LatencyTargetPolicy,
  computeTokenCost,
  type RequestView,
  type RetryPolicy,
  type RouterConfiguration,
} from '../src/index.js';

const configuration: RouterConfiguration = {
  version: 1,
  ranks: [{ name: 'family', urgency: 0, floor: 0, targetMs: 1_200 }],
  accounts: [
    {
      name: 'depot-1',
      keyHash: '',
      weight: 1,
      limits: [{ rank: 'family', costPerSecond: 10, burstCost: 100 }],
    },
  ],
  services: [
    {
      name: 'model',
      kind: ServiceKind.Model,
      layers: 1,
      idempotent: true,
      accounts: ['depot-1'],
    },
  ],
};

const createRequest = (change: Partial<RequestView> = {}): RequestView => ({
  requestId: 'request',
  account: 'depot-1',
  rank: 'family',
  service: 'model',
  deadlineAt: 10_000,
  isRepeatable: true,
  attempts: 0,
  avoided: [],
  urgency: 0,
  targetMs: 1_200,
  cost: 60,
  ...change,
});

describe('rate-limited admission', () => {
  it('rejects requests beyond the burst and tells when to retry', () => {
    const admission = new RateLimitedAdmission();
    const decide = (now: number): unknown =>
      admission.decideAdmission(createRequest(), configuration, now).val;
    expect(decide(0)).toBe(true);
    const refused = decide(0);
    expect(refused).toBeInstanceOf(BusyError);
    expect((refused as BusyError).retryAfterMs).toBe(2_000);
    expect(decide(1_999)).toBeInstanceOf(BusyError);
    expect(decide(2_000)).toBe(true);
  });

  it.each([
    [{ cost: -1 }, ErrorKind.BadRequest],
    [{ cost: Number.NaN }, ErrorKind.BadRequest],
    [{ cost: Number.MAX_VALUE }, ErrorKind.BadRequest],
    [{ cost: 500 }, ErrorKind.TooLarge],
    [{ rank: 'nobody' }, ErrorKind.UnknownRank],
    [{ service: 'nothing' }, ErrorKind.UnknownService],
    [{ account: 'stranger' }, ErrorKind.UnknownService],
    [{ deadlineAt: 0 }, ErrorKind.DeadlineExceeded],
  ])('rejects %j', (change, kind) => {
    const decided = new RateLimitedAdmission().decideAdmission(
      createRequest(change),
      configuration,
      0,
    );
    expect(decided.val).toMatchObject({ kind });
  });

  it('prices prompt and generated tokens separately, and rejects invalid counts', () => {
    expect(computeTokenCost(100, 20).unwrap()).toBe(30);
    expect(computeTokenCost(-1, 20).err).toBe(true);
    expect(computeTokenCost(1, Infinity).err).toBe(true);
  });
});

describe('admission by latency target', () => {
  const policy = new LatencyTargetPolicy();
  const decide = (waitMs: number, restMs: number): unknown =>
    policy.decideAdmission(
      createRequest(),
      {
        waitMs,
        firstTokenMs: waitMs + 200,
        completionMs: waitMs + restMs,
      },
      0,
    ).val;

  it('admits a request with a forecast within the target', () => {
    expect(decide(500, 3_000)).toBe(true);
  });

  it('rejects a request that would miss the target, with a delay that suffices for a retry', () => {
    const refused = decide(5_000, 3_000);
    expect(refused).toBeInstanceOf(BusyError);
    const { retryAfterMs } = refused as BusyError;
    expect(decide(5_000 - retryAfterMs, 3_000)).toBe(true);
  });

  it('rejects a deadline that cannot be met even without queueing', () => {
    expect(decide(0, 20_000)).toMatchObject({
      kind: ErrorKind.DeadlineExceeded,
    });
  });
});

describe('BudgetedRetry', () => {
  const countRetries = (retry: RetryPolicy): number => {
    let retries = 0;
    for (let index = 0; index < 1_000; index += 1) {
      const request = createRequest();
      retry.noteRequest(request, 0);
      if (retry.mayRetry(request, 0)) {
        retry.noteRetry(request, 0);
        retries += 1;
      }
    }
    return retries;
  };

  it('limits retries to one in ten requests when every request fails', () => {
    const retry = new BudgetedRetry({ ratio: 0.1, maxBalance: 10 });
    expect(countRetries(retry)).toBeLessThanOrEqual(110);
  });

  it('retries every request when there is no budget (control)', () => {
    expect(countRetries(new BoundedRetry())).toBe(1_000);
  });

  it('reserves part of the budget for more urgent ranks', () => {
    const retry = new BudgetedRetry({ ratio: 0, maxBalance: 8 });
    for (let index = 0; index < 6; index += 1) {
      retry.noteRetry();
    }
    expect(retry.mayRetry(createRequest({ urgency: 2 }), 0)).toBe(false);
    expect(retry.mayRetry(createRequest(), 0)).toBe(true);
  });
});
