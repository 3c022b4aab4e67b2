/** Measures the throughput of a saturated mixed fleet relative to its max-flow bound. */
import { Bed } from './bed.js';
import { computeFleetBound } from './benchBound.js';
import { benchRanks, rankNames } from './benchRanks.js';
import { buildMixedFleet } from './fakeFleet.js';
import type { PolicySet } from './policySet.js';
import { SeededBench, type SeedFigures } from './seededBench.js';
import { meanOutputTokens } from './workload.js';

const overload = 1.5;
const warmUpMs = 20_000;
const untilMs = 50_000;

export class BoundBench extends SeededBench {
  override readonly name = 'bound';
  override readonly summary =
    'served tokens a second of a mixed fleet as a share of its max-flow bound';
  override readonly unit = 'share of the bound';

  protected override measureRules(rules: PolicySet, seed: number): SeedFigures {
    const fleet = buildMixedFleet();
    const bound = computeFleetBound(fleet);
    const bed = new Bed({
      seed,
      rules,
      fleet,
      ranks: benchRanks,
      untilMs,
      streams: ['depot-1', 'depot-2'].map(account => ({
        account,
        rank: rankNames.middle,
        perSecond: (bound * overload) / meanOutputTokens / 2,
        from: 0,
        until: untilMs,
        deadlineMs: 60_000,
      })),
    });
    const tokensPerSecond = bed.run().computeTokenRate(warmUpMs, untilMs);
    return {
      figure: tokensPerSecond / bound,
      detail: { tokensPerSecond, bound },
    };
  }
}
