/** Emulates the streams of a domain whose gateways are stopped, and what their callers lose. */
import type { DurationForecast, DurationEstimate } from '../src/index.js';
import { EmulatedStreams } from './emulatedStreams.js';
import { ServerSpeed } from './serverSpeed.js';

export interface StopScenario {
  readonly gateways: number;
  /** Time between the stops of two gateways. */
  readonly gapMs: number;
  /** How long the gateways have run when the first one is stopped. */
  readonly ageMs: number;
  /** Streams each second at each gateway. */
  readonly perSecond: number;
  /** Factor of the rate of streams, and of the time that servers take for an event, from the burst on. */
  readonly burst: number;
  readonly pace: number;
  /** How long before the first stop the burst begins. */
  readonly burstLeadMs: number;
  /** Pause of all servers, counted from the first stop. */
  readonly pause?: { readonly afterMs: number; readonly lengthMs: number };
  /** Median duration of the streams, and the spread of its logarithm. */
  readonly medianMs: number;
  readonly spread: number;
  /** Part of the streams that last four times as long. */
  readonly longShare: number;
  /** Spread of the logarithm of a hint around the true length; absent without hints. */
  readonly hintError: number | undefined;
  readonly seed: number;
}

/** What became of the streams that reached a stopping gateway. */
export interface StopResult {
  readonly offered: number;
  readonly complete: number;
  readonly cut: number;
  /** Refused, and without another gateway when the stop was noticed, or refused there too. */
  readonly lost: number;
  /** Refused, and taken by another gateway. */
  readonly moved: number;
}

/** Whether a stopping gateway takes a stream. */
export type TakeRule = (estimate: DurationEstimate, leftMs: number) => boolean;

const drainMs = 7_400;
const noticeMs = 2_500;
const deadlineMs = 20_000;
/** Streams are sent until every load balancer has noticed the last stop. */
const afterMs = 5_000;

interface EmulatedStream {
  readonly at: number;
  /** How long it takes at the usual speed of the servers. */
  readonly durationMs: number;
  readonly expectedSize: number;
  readonly isReturn: boolean;
}

export const runStops = (
  scenario: StopScenario,
  createForecast: () => DurationForecast,
  mayTake: TakeRule,
): StopResult => {
  const random = createRandom(scenario.seed);
  const gateways = Array.from({ length: scenario.gateways }, (_, index) => ({
    forecast: createForecast(),
    stoppedAt: scenario.ageMs + index * scenario.gapMs,
  }));
  const speed = createSpeed(scenario);
  const open = new EmulatedStreams(speed);
  const result = { offered: 0, complete: 0, cut: 0, lost: 0, moved: 0 };
  const streams = createStreams(scenario, random);
  for (let stream = streams.shift(); stream; stream = streams.shift()) {
    const { at: now, durationMs, expectedSize, isReturn } = stream;
    open.advance(now);
    const known = gateways.filter(each => now < each.stoppedAt + noticeMs);
    const gateway = known[Math.floor(random() * known.length)];
    const isStopping = gateway !== undefined && now >= gateway.stoppedAt;
    result.offered += isStopping && !isReturn ? 1 : 0;
    if (!gateway) {
      result.lost += isReturn ? 1 : 0;
      continue;
    }
    const { forecast, stoppedAt } = gateway;
    const cutAt = stoppedAt + drainMs;
    const call = {
      kind: 'a',
      expectedSize,
      deadlineAt: now + deadlineMs,
    };
    if (
      isStopping &&
      !mayTake(forecast.estimateBy(call, cutAt, now), cutAt - now)
    ) {
      result.lost += isReturn ? 1 : 0;
      if (!isReturn) {
        streams.push({ ...stream, at: stoppedAt + noticeMs, isReturn: true });
        streams.sort((a, b) => a.at - b.at);
      }
      continue;
    }
    open.add(forecast.noteOpened(call, now), now, durationMs);
    if (isStopping) {
      const endsAt = speed.findEnd(now, durationMs);
      result[endsAt > cutAt ? 'cut' : 'complete'] += 1;
    } else if (isReturn) {
      result.moved += 1;
    }
  }
  return result;
};

const createSpeed = ({
  ageMs,
  burstLeadMs,
  pace,
  pause,
}: StopScenario): ServerSpeed => {
  const slowFrom = ageMs - burstLeadMs;
  if (!pause) {
    return new ServerSpeed([{ from: slowFrom, speed: 1 / pace }]);
  }
  const from = ageMs + pause.afterMs;
  return new ServerSpeed([
    { from: slowFrom, speed: 1 / pace },
    { from, speed: 0 },
    { from: from + pause.lengthMs, speed: 1 / pace },
  ]);
};

/** Creates the streams of a run in the order of their times. */
const createStreams = (
  scenario: StopScenario,
  random: () => number,
): EmulatedStream[] => {
  const { gateways, gapMs, ageMs, perSecond, burst, burstLeadMs } = scenario;
  const endsAt = ageMs + (gateways - 1) * gapMs + afterMs;
  const streams: EmulatedStream[] = [];
  let at = 0;
  while (at < endsAt) {
    const isBefore = at < ageMs - burstLeadMs;
    const rate = (isBefore ? 1 : burst) * perSecond * gateways;
    at += (-Math.log(1 - random()) * 1_000) / rate;
    const length = drawLength(scenario, random);
    streams.push({
      at,
      durationMs: scenario.medianMs * length,
      expectedSize: drawHint(scenario, length, random),
      isReturn: false,
    });
  }
  return streams;
};

const drawLength = (
  { spread, longShare }: StopScenario,
  random: () => number,
): number =>
  Math.exp(spread * drawNormal(random)) * (random() < longShare ? 4 : 1);

const drawHint = (
  { hintError }: StopScenario,
  length: number,
  random: () => number,
): number =>
  hintError === undefined
    ? 1
    : 100 * length * Math.exp(hintError * drawNormal(random));

const drawNormal = (random: () => number): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** A generator of numbers below one, the same for the same seed. */
const createRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296;
    return state / 4_294_967_296;
  };
};
