/**
 * Measures the service of each rank while the lowest or the top rank is flooded.
 *
 * The figure is the share of top-rank requests within their target while the
 * lowest rank demands five times what the fleet can serve.
 */
import type { Milliseconds } from '@lycheetally/common';
import { PolicySimulation } from './policySimulation.js';
import { computeMaxFlowBound } from './maxFlowBound.js';
import { benchRanks, rankNames } from './benchRanks.js';
import { buildMixedFleet } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';
import { SeededBench, type SeedResult } from './seededBench.js';
import {
  computeQuantile,
  computeShare,
  type RunMetrics,
} from './runMetrics.js';
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
const usualLoadShares = {
  [rankNames.top]: 0.2,
  [rankNames.middle]: 0.25,
  [rankNames.low]: 0.2,
} as const;

const callers = { maxRetries: 2, defaultRetryAfterMs: 1_000 };

/** Simulates the usual load with a flood of requests of one rank. */
export const runFlood = (
  policies: PolicySet,
  seed: number,
  floodedRank: string,
): { metrics: RunMetrics; bound: number } => {
  const fleet = buildMixedFleet();
  const bound = computeMaxFlowBound(fleet);
  const computeRequestRate = (share: number): number =>
    (bound * share) / meanOutputTokens;
  const usualStreams = Object.entries(usualLoadShares).map(([rank, share]) =>
    createStream('depot-1', rank, computeRequestRate(share), 0, untilMs),
  );
  const floodStream = createStream(
    'depot-2',
    floodedRank,
    computeRequestRate(floodFactor),
    floodFromMs,
    floodUntilMs,
  );
  const streams = [...usualStreams, floodStream];
  const ranks = benchRanks;
  const simulation = new PolicySimulation({
    seed,
    policies,
    fleet,
    ranks,
    streams,
    untilMs,
    callers,
  });
  return { metrics: simulation.run(), bound };
};

const createStream = (
  account: string,
  rank: string,
  requestsPerSecond: number,
  from: Milliseconds,
  until: Milliseconds,
): RequestStream => ({
  account,
  rank,
  requestsPerSecond,
  from,
  until,
  deadlineMs: deadlines[rank] ?? untilMs,
});

/**
 * Measures the share of top-rank requests within their target, and the 99th
 * percentile of their time to the first token.
 */
const measureTopRank = (
  metrics: RunMetrics,
  from: Milliseconds,
  until: Milliseconds,
): { share: number; p99: Milliseconds } => {
  const targetMs = benchRanks[0]?.targetMs ?? 0;
  const records = metrics.listRequests(
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

const computeServedShares = (
  metrics: RunMetrics,
  bound: number,
  from: Milliseconds,
  until: Milliseconds,
): Record<string, number> =>
  Object.fromEntries(
    benchRanks.map(({ name }) => [
      name,
      metrics.computeTokenRate(from, until, name) / bound,
    ]),
  );

export class RanksBench extends SeededBench {
  override readonly name = 'ranks';
  override readonly summary =
    'share of the top rank within its target in a 5x flood of the lowest';
  override readonly unit = 'share within target';

  protected override measurePolicies(
    policies: PolicySet,
    seed: number,
  ): SeedResult {
    const lowFloodRun = runFlood(policies, seed, rankNames.low);
    const topFloodRun = runFlood(policies, seed, rankNames.top);
    const settledAtMs = floodFromMs + settleMs;
    const inLowFlood = measureTopRank(
      lowFloodRun.metrics,
      floodFromMs,
      floodUntilMs,
    );
    const inTopFlood = measureTopRank(
      topFloodRun.metrics,
      floodFromMs,
      floodUntilMs,
    );
    return {
      figure: inLowFlood.share,
      detail: {
        lowFlood: {
          top: inLowFlood,
          served: computeServedShares(
            lowFloodRun.metrics,
            lowFloodRun.bound,
            settledAtMs,
            floodUntilMs,
          ),
          retries: lowFloodRun.metrics.retries,
          topAfterFlood: measureTopRank(
            lowFloodRun.metrics,
            floodUntilMs + settleMs,
            untilMs,
          ),
        },
        topFlood: {
          top: inTopFlood,
          floors: benchRanks.map(rank => rank.floor),
          served: computeServedShares(
            topFloodRun.metrics,
            topFloodRun.bound,
            settledAtMs,
            floodUntilMs,
          ),
          retries: topFloodRun.metrics.retries,
          topAfterFlood: measureTopRank(
            topFloodRun.metrics,
            floodUntilMs + settleMs,
            untilMs,
          ),
        },
        topBeforeFlood: measureTopRank(
          lowFloodRun.metrics,
          warmUpMs,
          floodFromMs,
        ).share,
      },
    };
  }
}
