/** Request streams with seeded random arrival times and token counts. */
import type { Milliseconds } from '@lycheetally/common';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { VirtualTime } from './virtualTime.js';

/** Requests of one account and rank, with Poisson arrivals at a constant rate. */
export interface RequestStream {
  readonly account: string;
  readonly rank: string;
  readonly requestsPerSecond: number;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  /** Milliseconds from a request to its deadline. */
  readonly deadlineMs: Milliseconds;
}

/** A request as its caller sends it. */
export interface OfferedRequest {
  readonly requestId: string;
  readonly account: string;
  readonly rank: string;
  readonly promptTokens: number;
  /** Tokens after which the simulated model ends its answer. */
  readonly outputTokens: number;
  /** The most tokens that the caller allows in the answer. */
  readonly maxTokens: number;
  readonly offeredAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
}

/** Prompt and answer lengths, in tokens. */
export const tokenLengths = {
  minPrompt: 40,
  maxPrompt: 200,
  minOutput: 16,
  maxOutput: 64,
  maxTokens: 64,
} as const;

export const meanPromptTokens =
  (tokenLengths.minPrompt + tokenLengths.maxPrompt) / 2;
export const meanOutputTokens =
  (tokenLengths.minOutput + tokenLengths.maxOutput) / 2;

const millisecondsPerSecond = 1_000;

/** A seeded source of random numbers. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a uniformly distributed number from 0 to 1, 1 excluded. */
  drawUniform(): number {
    return uniformFloat64(this.generator);
  }

  drawInteger(min: number, max: number): number {
    return Math.floor(min + this.drawUniform() * (max - min + 1));
  }

  /** Returns an exponentially distributed number, such as the time between Poisson arrivals. */
  drawExponential(mean: number): number {
    return -Math.log(1 - this.drawUniform()) * mean;
  }
}

/** Starts a stream: each request, once sent, schedules the next. */
export const startStream = (
  stream: RequestStream,
  seed: number,
  time: VirtualTime,
  handleRequest: (request: OfferedRequest, now: Milliseconds) => void,
): void => {
  const random = new SeededRandom(seed);
  const meanGapMs = millisecondsPerSecond / stream.requestsPerSecond;
  let count = 0;
  const offer = (now: Milliseconds): void => {
    if (now >= stream.until) {
      return;
    }
    count += 1;
    const requestId = `${stream.account}/${stream.rank}/${String(count)}`;
    handleRequest(createRequest(requestId, stream, random, now), now);
    time.schedule(random.drawExponential(meanGapMs), offer);
  };
  time.schedule(stream.from + random.drawExponential(meanGapMs), offer);
};

const createRequest = (
  requestId: string,
  stream: RequestStream,
  random: SeededRandom,
  now: Milliseconds,
): OfferedRequest => ({
  requestId,
  account: stream.account,
  rank: stream.rank,
  promptTokens: random.drawInteger(
    tokenLengths.minPrompt,
    tokenLengths.maxPrompt,
  ),
  outputTokens: random.drawInteger(
    tokenLengths.minOutput,
    tokenLengths.maxOutput,
  ),
  maxTokens: tokenLengths.maxTokens,
  offeredAt: now,
  deadlineAt: now + stream.deadlineMs,
});
