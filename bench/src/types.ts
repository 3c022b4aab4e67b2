/** What every bench has in common. */

/** The figures of one run of a bench. */
export interface BenchResult {
  readonly name: string;
  readonly seed: number;
  readonly unit: string;
  /** The figure of the baseline in the same run; `null` where none is meaningful. */
  readonly baseline: number | null;
  readonly ours: number;
  /** `ours / baseline`. */
  readonly ratio: number | null;
  readonly detail: Readonly<Record<string, unknown>>;
}

/** What a run is told. */
export interface BenchOptions {
  readonly seed: number;
  /** Writes a line of progress. */
  readonly report: (line: string) => void;
}

/** A named bench. */
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
