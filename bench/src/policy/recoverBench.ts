/**
 * Measures the time to recover after losing one failure domain of three.
 *
 * The figure is the seconds until at least 99 in 100 top-rank requests meet
 * their target in every following window of one second.
 */
import type { Milliseconds } from '@lycheetally/common';
import { Bed } from './bed.js';
import { computeFleetBound } from './benchBound.js';
import { benchRanks, rankNames } from './benchRanks.js';
import { benchDomains, buildMixedFleet } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';
import { SeededBench, type SeedFigures } from './seededBench.js';
import { computeShare, type Tally } from './tally.js';
import { meanOutputTokens } from './workload.js';

const lostAtMs = 20_000;
const untilMs = 70_000;
const lastWindowMs = 60_000;
const windowMs = 1_000;
const millisecondsPerSecond = 1_000;
const wantedShare = 0.95;
/** Load of each rank, as a share of the max-flow bound of the whole fleet. */
const loads = [
  { rank: rankNames.top, share: 0.15, deadlineMs: 15_000 },
  { rank: rankNames.middle, share: 0.3, deadlineMs: 30_000 },
  { rank: rankNames.low, share: 0.6, deadlineMs: 600_000 },
];

/** Returns the seconds after the loss from which the check holds in every window. */
const computeRecovery = (check: (from: Milliseconds) => boolean): number => {
  let from = lastWindowMs;
  while (from > lostAtMs && check(from - windowMs)) {
    from -= windowMs;
  }
  return (from - lostAtMs) / millisecondsPerSecond;
};

const isTopInTarget = (tally: Tally, from: Milliseconds): boolean => {
  const targetMs = benchRanks[0]?.targetMs ?? 0;
  const records = tally.list(
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

  protected override measureRules(rules: PolicySet, seed: number): SeedFigures {
    const fleet = buildMixedFleet();
    const bound = computeFleetBound(fleet);
    const lostDomain = benchDomains[1];
    const rest = fleet.filter(worker => worker.failureDomain !== lostDomain);
    const newBound = computeFleetBound(rest);
    const streams = loads.map(({ rank, share, deadlineMs }) => ({
      account: 'depot-1',
      rank,
      perSecond: (bound * share) / meanOutputTokens,
      from: 0,
      until: untilMs,
      deadlineMs,
    }));
    const bed = new Bed({
      seed,
      rules,
      fleet,
      ranks: benchRanks,
      streams,
      untilMs,
    });
    bed.time.schedule(lostAtMs, () => {
      for (const worker of fleet) {
        if (worker.failureDomain === lostDomain) {
          bed.failWorker(worker.serverId);
        }
      }
    });
    const tally = bed.run();
    const toBound = computeRecovery(
      from =>
        tally.computeTokenRate(from, from + windowMs) >= newBound * wantedShare,
    );
    return {
      figure: computeRecovery(from => isTopInTarget(tally, from)),
      detail: {
        secondsToNewBound: toBound,
        shareOfNewBound:
          tally.computeTokenRate(lostAtMs + 10_000, lastWindowMs) / newBound,
        newBound,
        retries: tally.retries,
        notRecovered: (lastWindowMs - lostAtMs) / millisecondsPerSecond,
      },
    };
  }
}
