/** A stopping gateway takes no call that it will probably cut, however short it has run. */
import { SurvivalForecast } from '@lycheetally/decisions';
import { describe, expect, it } from 'vitest';
import { forecastSettings } from '../src/constants.js';
import { mayRetry, mayStartAttempt } from '../src/calls/repeatRules.js';
import { StoppingGateway, type TestCall } from './stoppingGateway.js';

interface Stream {
  readonly durationMs: number;
  readonly call?: TestCall;
}

const signalAt = 3_000;
const askedAt = 5_000;

/** Runs streams that begin with the gateway, stops it after three seconds, and returns it two seconds later. */
const runUntilStop = (
  streams: readonly Stream[],
  beganAt = 0,
): StoppingGateway => {
  const gateway = new StoppingGateway(new SurvivalForecast(forecastSettings));
  const running = streams.map(({ durationMs, call = {} }) => ({
    endsAt: beganAt + durationMs,
    end: gateway.request(call, beganAt),
  }));
  const ended = running
    .filter(({ endsAt }) => endsAt <= askedAt)
    .sort((a, b) => a.endsAt - b.endsAt);
  for (const { endsAt, end } of ended.filter(each => each.endsAt < signalAt)) {
    end?.(endsAt);
  }
  gateway.stop(signalAt);
  for (const { endsAt, end } of ended.filter(each => each.endsAt >= signalAt)) {
    end?.(endsAt);
  }
  return gateway;
};

const makeStreams = (count: number, stream: Stream): Stream[] =>
  Array.from({ length: count }, () => stream);

describe('a stopping gateway', () => {
  // Guards against a log that tells another forecast than the one that the call was taken on.
  it('keeps the forecast that it took a call on when it looks for another server', () => {
    const gateway = runUntilStop(makeStreams(20, { durationMs: 1_500 }));
    const call = gateway.createCall({}, askedAt);
    expect(mayStartAttempt(call, askedAt)).toBe(true);
    const taken = call.drainForecast;
    expect(mayRetry(call, askedAt + 100)).toBe(true);
    expect(call.drainForecast).toBe(taken);
    expect(taken?.timeLeftMs).toBe(gateway.timeoutAt - askedAt);
  });

  it('does not take a stream when it has run for three seconds and half of its streams are still open', () => {
    const gateway = runUntilStop([
      ...makeStreams(20, { durationMs: 1_500 }),
      ...makeStreams(20, { durationMs: 12_000 }),
    ]);
    expect(gateway.request({}, askedAt)).toBeUndefined();
  });

  it('does not take a non-repeatable stream while one of its kind is open that may outlast the stop', () => {
    const gateway = runUntilStop([
      ...makeStreams(40, { durationMs: 200, call: { isRepeatable: false } }),
      { durationMs: 12_000, call: { isRepeatable: false } },
    ]);
    expect(gateway.request({ isRepeatable: false }, askedAt)).toBeUndefined();
  });

  it('does not take a stream that its caller expects to be long, though most end in time', () => {
    const gateway = runUntilStop(
      [
        ...makeStreams(30, {
          durationMs: 1_000,
          call: { hintedOutputTokens: 35 },
        }),
        ...makeStreams(10, {
          durationMs: 7_000,
          call: { hintedOutputTokens: 600 },
        }),
      ],
      -20_000,
    );
    expect(gateway.request({ hintedOutputTokens: 600 }, askedAt)).toBe(
      undefined,
    );
    expect(gateway.request({ hintedOutputTokens: 35 }, askedAt)).toBeDefined();
  });

  it('takes a stream that its caller expects to be short, though most are long', () => {
    const gateway = runUntilStop(
      [
        ...makeStreams(10, {
          durationMs: 500,
          call: { hintedOutputTokens: 20 },
        }),
        ...makeStreams(30, {
          durationMs: 9_000,
          call: { hintedOutputTokens: 500 },
        }),
      ],
      -20_000,
    );
    expect(gateway.request({ hintedOutputTokens: 20 }, askedAt)).toBeDefined();
    expect(
      gateway.request({ hintedOutputTokens: 500 }, askedAt),
    ).toBeUndefined();
  });

  // Guards against short streams after a quiet time that look like all there are.
  it('does not take a stream when its kind was seen long ago and half of the new ones are open', () => {
    const gateway = new StoppingGateway(new SurvivalForecast(forecastSettings));
    gateway.request({}, 0)?.(1_000);
    const beganAt = 2 * forecastSettings.windowMs;
    const streams = Array.from({ length: 80 }, () =>
      gateway.request({}, beganAt),
    );
    gateway.stop(beganAt + 500);
    for (const end of streams.slice(0, 40)) {
      end?.(beganAt + 1_000);
    }
    expect(gateway.request({}, beganAt + 1_010)).toBeUndefined();
  });

  it('takes a non-repeatable call only if its deadline comes before the stop', () => {
    const gateway = runUntilStop(
      makeStreams(40, { durationMs: 20, call: { isRepeatable: false } }),
      2_000,
    );
    const call = { isRepeatable: false };
    expect(gateway.request(call, askedAt)).toBeUndefined();
    expect(
      gateway.request({ ...call, deadlineMs: 1_500 }, askedAt),
    ).toBeDefined();
  });
});
