/**
 * Measures how two accounts with ten times the load slow down small accounts.
 *
 * The figure is the 95th percentile of the small accounts' time to the complete
 * answer, divided by the same percentile when they have the fleet to themselves.
 */
import { PolicySimulation } from './policySimulation.js';
import { computeMaxFlowBound } from './maxFlowBound.js';
import { benchRanks, rankNames } from './benchRanks.js';
import { buildMixedFleet } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';
import { SeededBench, type SeedResult } from './seededBench.js';
import {
  computeJainIndex,
  computeQuantile,
  type RunMetrics,
} from './runMetrics.js';
import { meanOutputTokens } from './workload.js';

const smallAccounts = Array.from(
  { length: 8 },
  (_, index) => `small-${String(index + 1)}`,
);
const largeAccounts = ['large-1', 'large-2'];
const largeFactor = 10;
/** Load of all small accounts together, as a share of the max-flow bound. */
const smallLoad = 0.4;
const warmUpMs = 15_000;
const untilMs = 60_000;
const measureUntilMs = 45_000;

const runWorkload = (
  policies: PolicySet,
  seed: number,
  includeLargeAccounts: boolean,
): RunMetrics => {
  const fleet = buildMixedFleet();
  const bound = computeMaxFlowBound(fleet);
  const accountTokensPerSecond = (bound * smallLoad) / smallAccounts.length;
  const streams = [
    ...smallAccounts.map(account => ({ account, factor: 1 })),
    ...(includeLargeAccounts ? largeAccounts : []).map(account => ({
      account,
      factor: largeFactor,
    })),
  ].map(({ account, factor }) => ({
    account,
    rank: rankNames.middle,
    requestsPerSecond: (accountTokensPerSecond * factor) / meanOutputTokens,
    from: 0,
    until: untilMs,
    deadlineMs: 30_000,
  }));
  const ranks = benchRanks;
  return new PolicySimulation({
    seed,
    policies,
    fleet,
    ranks,
    streams,
    untilMs,
  }).run();
};

const measureSmallAccounts = (
  metrics: RunMetrics,
): { answerP95: number; firstTokenP95: number; perAccount: number[] } => {
  const records = metrics.listRequests(
    ({ request, offeredAt }) =>
      request.account.startsWith('small') &&
      offeredAt >= warmUpMs &&
      offeredAt < measureUntilMs,
  );
  const perAccount = smallAccounts.map(account =>
    records
      .filter(record => record.request.account === account)
      .reduce((sum, record) => sum + record.generatedTokens, 0),
  );
  return {
    answerP95: computeQuantile(
      records.map(record => record.answerMs),
      0.95,
    ),
    firstTokenP95: computeQuantile(
      records.map(record => record.firstTokenMs),
      0.95,
    ),
    perAccount,
  };
};

const countServedTokens = (metrics: RunMetrics, account: string): number => {
  const records = metrics.listRequests(
    ({ request, offeredAt }) =>
      request.account === account &&
      offeredAt >= warmUpMs &&
      offeredAt < measureUntilMs,
  );
  return records.reduce((sum, record) => sum + record.generatedTokens, 0);
};

export class FairnessBench extends SeededBench {
  override readonly name = 'fairness';
  override readonly summary =
    "small accounts' p95 beside two accounts at 10x, over their p95 alone";
  override readonly unit = 'times the p95 alone';

  protected override measurePolicies(
    policies: PolicySet,
    seed: number,
  ): SeedResult {
    const alone = measureSmallAccounts(runWorkload(policies, seed, false));
    const metrics = runWorkload(policies, seed, true);
    const beside = measureSmallAccounts(metrics);
    const largeTokens = largeAccounts.map(account =>
      countServedTokens(metrics, account),
    );
    return {
      figure: beside.answerP95 / alone.answerP95,
      detail: {
        firstTokenRatio: beside.firstTokenP95 / alone.firstTokenP95,
        alone,
        beside,
        // Jain's index compares tokens divided by each account's fair share (its
        // demand, or an equal part). The accounts of a group have the same fair
        // share, so it cancels out.
        jainSmall: computeJainIndex(beside.perAccount),
        jainLarge: computeJainIndex(largeTokens),
        largeTokens,
      },
    };
  }
}
