/** A bench that measures our policies and the baselines with three seeds in one run. */
import { Bench, type BenchOptions } from '../types.js';
import type { PolicySet } from './policySet.js';
import { fifoRoundRobin, leastOutstanding } from './policySet.js';
import { ourPolicies } from './ourPolicies.js';
import { computeQuantile } from './runMetrics.js';

/** Result of one set of policies with one seed. */
export interface SeedResult {
  /** The figure that is compared with the baseline's. */
  readonly figure: number;
  readonly detail: Readonly<Record<string, unknown>>;
}

const seedsPerRun = 3;

export abstract class SeededBench extends Bench {
  /** Measures a set of policies with one seed. */
  protected abstract measurePolicies(
    policies: PolicySet,
    seed: number,
  ): SeedResult;

  protected override measure({ seed, report }: BenchOptions): Promise<{
    baseline: number;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const seeds = Array.from(
      { length: seedsPerRun },
      (_, index) => seed + index,
    );
    const policyResults = [fifoRoundRobin, leastOutstanding, ourPolicies].map(
      policies => {
        const results = seeds.map(runSeed => {
          report(`Running ${policies.name} with seed ${String(runSeed)}`);
          return this.measurePolicies(policies, runSeed);
        });
        const median = computeQuantile(
          results.map(result => result.figure),
          0.5,
        );
        return { name: policies.name, median, results };
      },
    );
    const [baseline, , ours] = policyResults.map(
      policyResult => policyResult.median,
    );
    const detail = Object.fromEntries(
      policyResults.map(policyResult => [
        policyResult.name,
        policyResult.results.map((result, index) => ({
          seed: seeds[index],
          figure: result.figure,
          ...result.detail,
        })),
      ]),
    );
    return Promise.resolve({
      baseline: baseline ?? 0,
      ours: ours ?? 0,
      detail: { seeds, ...detail },
    });
  }
}
