/**
 * Measures the service of each rank while the lowest or the top rank is flooded.
 *
 * The figure is the share of top-rank requests within their target while the
 * lowest rank demands five times what the fleet can serve.
 */
import type { Milliseconds } from '@lycheetally/common';
import { Bed } from './bed.js';
import { computeFleetBound } from './benchBound.js';
import { benchRanks, rankNames } from './benchRanks.js';
import { buildMixedFleet } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';
import { SeededBench, type SeedFigures } from './seededBench.js';
import { computeQuantile, computeShare, type Tally } from './tally.js';
import { meanOutputTokens, type RequestStream } from './workload.js';

const floodFactor = 5;
const warmUpMs = 10_000;
const floodFromMs = 20_000;
const floodUntilMs = 60_000;
const untilMs = 90_000;
/** Time for the queues to settle after a flood starts or ends, before service is measured. */
const settleMs = 10_000;

const deadlines: Readonly<Record<string, Milliseconds>> = {
  [rankNames.top]: 10_000,
  [rankNames.middle]: 30_000,
  [rankNames.low]: 600_000,
};

/** Load of each rank without a flood, as a share of the max-flow bound. */
const usualLoads = {
  [rankNames.top]: 0.2,
  [rankNames.middle]: 0.25,
  [rankNames.low]: 0.2,
} as const;

const callers = { repeats: 2, repeatAfterMs: 1_000 };

/** Simulates the usual load with a flood of requests of one rank. */
export const runFlood = (
  rules: PolicySet,
  seed: number,
  flooded: string,
): { tally: Tally; bound: number } => {
  const fleet = buildMixedFleet();
  const bound = computeFleetBound(fleet);
  const perSecond = (share: number): number =>
    (bound * share) / meanOutputTokens;
  const usual = Object.entries(usualLoads).map(([rank, share]) =>
    createStream('depot-1', rank, perSecond(share), 0, untilMs),
  );
  const flood = createStream(
    'depot-2',
    flooded,
    perSecond(floodFactor),
    floodFromMs,
    floodUntilMs,
  );
  const streams = [...usual, flood];
  const ranks = benchRanks;
  const bed = new Bed({ seed, rules, fleet, ranks, streams, untilMs, callers });
  return { tally: bed.run(), bound };
};

const createStream = (
  account: string,
  rank: string,
  perSecond: number,
  from: Milliseconds,
  until: Milliseconds,
): RequestStream => ({
  account,
  rank,
  perSecond,
  from,
  until,
  deadlineMs: deadlines[rank] ?? untilMs,
});

/**
 * Measures the share of top-rank requests within their target, and the 99th
 * percentile of their time to the first token.
 */
const measureTop = (
  tally: Tally,
  from: Milliseconds,
  until: Milliseconds,
): { share: number; p99: Milliseconds } => {
  const targetMs = benchRanks[0]?.targetMs ?? 0;
  const records = tally.list(
    ({ request, offeredAt }) =>
      request.rank === rankNames.top && offeredAt >= from && offeredAt < until,
  );
  const share = computeShare(
    records,
    record => record.firstTokenMs <= targetMs,
  );
  const times = records.map(record => record.firstTokenMs);
  return { share, p99: computeQuantile(times, 0.99) };
};

const measureRates = (
  tally: Tally,
  bound: number,
  from: Milliseconds,
  until: Milliseconds,
): Record<string, number> =>
  Object.fromEntries(
    benchRanks.map(({ name }) => [
      name,
      tally.computeTokenRate(from, until, name) / bound,
    ]),
  );

export class RanksBench extends SeededBench {
  override readonly name = 'ranks';
  override readonly summary =
    'share of the top rank within its target in a 5x flood of the lowest';
  override readonly unit = 'share within target';

  protected override measureRules(rules: PolicySet, seed: number): SeedFigures {
    const low = runFlood(rules, seed, rankNames.low);
    const top = runFlood(rules, seed, rankNames.top);
    const settled = floodFromMs + settleMs;
    const inLowFlood = measureTop(low.tally, floodFromMs, floodUntilMs);
    const inTopFlood = measureTop(top.tally, floodFromMs, floodUntilMs);
    return {
      figure: inLowFlood.share,
      detail: {
        lowFlood: {
          top: inLowFlood,
          served: measureRates(low.tally, low.bound, settled, floodUntilMs),
          retries: low.tally.retries,
          topAfterFlood: measureTop(
            low.tally,
            floodUntilMs + settleMs,
            untilMs,
          ),
        },
        topFlood: {
          top: inTopFlood,
          floors: benchRanks.map(rank => rank.floor),
          served: measureRates(top.tally, top.bound, settled, floodUntilMs),
          retries: top.tally.retries,
          topAfterFlood: measureTop(
            top.tally,
            floodUntilMs + settleMs,
            untilMs,
          ),
        },
        topBeforeFlood: measureTop(low.tally, warmUpMs, floodFromMs).share,
      },
    };
  }
}
