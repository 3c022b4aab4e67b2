/** Measures the throughput of a saturated mixed fleet relative to its max-flow bound. */
import { PolicySimulation } from './policySimulation.js';
import { computeMaxFlowBound } from './maxFlowBound.js';
import { benchRanks, rankNames } from './benchRanks.js';
import { buildMixedFleet } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';
import { SeededBench, type SeedResult } from './seededBench.js';
import { meanOutputTokens } from './workload.js';

const overloadFactor = 1.5;
const warmUpMs = 20_000;
const untilMs = 50_000;

export class BoundBench extends SeededBench {
  override readonly name = 'bound';
  override readonly summary =
    'served tokens a second of a mixed fleet as a share of its max-flow bound';
  override readonly unit = 'share of the bound';

  protected override measurePolicies(
    policies: PolicySet,
    seed: number,
  ): SeedResult {
    const fleet = buildMixedFleet();
    const bound = computeMaxFlowBound(fleet);
    const simulation = new PolicySimulation({
      seed,
      policies,
      fleet,
      ranks: benchRanks,
      untilMs,
      streams: ['depot-1', 'depot-2'].map(account => ({
        account,
        rank: rankNames.middle,
        requestsPerSecond: (bound * overloadFactor) / meanOutputTokens / 2,
        from: 0,
        until: untilMs,
        deadlineMs: 60_000,
      })),
    });
    const tokensPerSecond = simulation
      .run()
      .computeTokenRate(warmUpMs, untilMs);
    return {
      figure: tokensPerSecond / bound,
      detail: { tokensPerSecond, bound },
    };
  }
}
