/** The base class of the benches. */

/** The result of one run of a bench. */
export interface BenchResult {
  readonly name: string;
  readonly seed: number;
  readonly unit: string;
  /** The baseline measured in the same run, or `null` if there is none. */
  readonly baseline: number | null;
  readonly ours: number;
  /** `ours / baseline`. */
  readonly ratio: number | null;
  readonly detail: Readonly<Record<string, unknown>>;
}

export interface BenchOptions {
  readonly seed: number;
  /** Writes a line of progress. */
  readonly report: (line: string) => void;
}

/** A benchmark that measures one figure and, where there is one, its baseline. */
export abstract class Bench {
  abstract readonly name: string;
  abstract readonly summary: string;
  abstract readonly unit: string;

  protected abstract measure(options: BenchOptions): Promise<{
    readonly baseline: number | null;
    readonly ours: number;
    readonly detail?: Readonly<Record<string, unknown>>;
  }>;

  async run(options: BenchOptions): Promise<BenchResult> {
    const { baseline, ours, detail } = await this.measure(options);
    return {
      name: this.name,
      seed: options.seed,
      unit: this.unit,
      baseline,
      ours,
      ratio: baseline === null || baseline === 0 ? null : ours / baseline,
      detail: detail ?? {},
    };
  }
}
