/** A bench that measures our policies and the baselines with three seeds in one run. */
import { Bench, type BenchOptions } from '../types.js';
import type { PolicySet } from './policySet.js';
import { fifoRoundRobin, leastOutstanding } from './policySet.js';
import { ourRules } from './ourRules.js';
import { computeQuantile } from './tally.js';

/** Result of one set of policies with one seed. */
export interface SeedFigures {
  /** The figure that is compared with the baseline's. */
  readonly figure: number;
  readonly detail: Readonly<Record<string, unknown>>;
}

const seedsPerRun = 3;

export abstract class SeededBench extends Bench {
  /** Measures a set of policies with one seed. */
  protected abstract measureRules(rules: PolicySet, seed: number): SeedFigures;

  protected override measure({ seed, report }: BenchOptions): Promise<{
    baseline: number;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const seeds = Array.from(
      { length: seedsPerRun },
      (_, index) => seed + index,
    );
    const measured = [fifoRoundRobin, leastOutstanding, ourRules].map(rules => {
      const figures = seeds.map(each => {
        report(`Running ${rules.name} with seed ${String(each)}`);
        return this.measureRules(rules, each);
      });
      const median = computeQuantile(
        figures.map(each => each.figure),
        0.5,
      );
      return { name: rules.name, median, figures };
    });
    const [baseline, , ours] = measured.map(each => each.median);
    const detail = Object.fromEntries(
      measured.map(each => [
        each.name,
        each.figures.map((figures, index) => ({
          seed: seeds[index],
          figure: figures.figure,
          ...figures.detail,
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
