/**
 * Measures the time to recover after losing one failure domain of three.
 *
 * The figure is the seconds until at least 99 in 100 top-rank requests meet
 * their target in every following window of one second.
 */
import type { Milliseconds } from '@lycheetally/common';
import { PolicySimulation } from './policySimulation.js';
import { computeMaxFlowBound } from './maxFlowBound.js';
import { benchRanks, rankNames } from './benchRanks.js';
import { benchFailureDomains, buildMixedFleet } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';
import { SeededBench, type SeedResult } from './seededBench.js';
import { computeShare, type RunMetrics } from './runMetrics.js';
import { meanOutputTokens } from './workload.js';

const lostAtMs = 20_000;
const untilMs = 70_000;
const measureUntilMs = 60_000;
const windowMs = 1_000;
const millisecondsPerSecond = 1_000;
const recoveredShare = 0.95;
/** Load of each rank, as a share of the max-flow bound of the whole fleet. */
const loads = [
  { rank: rankNames.top, share: 0.15, deadlineMs: 15_000 },
  { rank: rankNames.middle, share: 0.3, deadlineMs: 30_000 },
  { rank: rankNames.low, share: 0.6, deadlineMs: 600_000 },
];

/** Returns the seconds after the loss from which the check holds in every window. */
const computeRecoverySeconds = (
  check: (from: Milliseconds) => boolean,
): number => {
  let from = measureUntilMs;
  while (from > lostAtMs && check(from - windowMs)) {
    from -= windowMs;
  }
  return (from - lostAtMs) / millisecondsPerSecond;
};

const isTopRankOnTarget = (
  metrics: RunMetrics,
  from: Milliseconds,
): boolean => {
  const targetMs = benchRanks[0]?.targetMs ?? 0;
  const records = metrics.listRequests(
    ({ request, offeredAt }) =>
      request.rank === rankNames.top &&
      offeredAt >= from &&
      offeredAt < from + windowMs,
  );
  const share = computeShare(
    records,
    record => record.firstTokenMs <= targetMs,
  );
  return share >= 0.99;
};

export class RecoverBench extends SeededBench {
  override readonly name = 'recover';
  override readonly summary =
    'seconds until the top rank is back in target after losing a failure domain';
  override readonly unit = 's';

  protected override measurePolicies(
    policies: PolicySet,
    seed: number,
  ): SeedResult {
    const fleet = buildMixedFleet();
    const bound = computeMaxFlowBound(fleet);
    const lostDomain = benchFailureDomains[1];
    const remainingServers = fleet.filter(
      server => server.failureDomain !== lostDomain,
    );
    const newBound = computeMaxFlowBound(remainingServers);
    const streams = loads.map(({ rank, share, deadlineMs }) => ({
      account: 'depot-1',
      rank,
      requestsPerSecond: (bound * share) / meanOutputTokens,
      from: 0,
      until: untilMs,
      deadlineMs,
    }));
    const simulation = new PolicySimulation({
      seed,
      policies,
      fleet,
      ranks: benchRanks,
      streams,
      untilMs,
    });
    simulation.time.schedule(lostAtMs, () => {
      for (const server of fleet) {
        if (server.failureDomain === lostDomain) {
          simulation.failServer(server.serverId);
        }
      }
    });
    const metrics = simulation.run();
    const secondsToNewBound = computeRecoverySeconds(
      from =>
        metrics.computeTokenRate(from, from + windowMs) >=
        newBound * recoveredShare,
    );
    return {
      figure: computeRecoverySeconds(from => isTopRankOnTarget(metrics, from)),
      detail: {
        secondsToNewBound,
        shareOfNewBound:
          metrics.computeTokenRate(lostAtMs + 10_000, measureUntilMs) /
          newBound,
        newBound,
        retries: metrics.retries,
        notRecovered: (measureUntilMs - lostAtMs) / millisecondsPerSecond,
      },
    };
  }
}
