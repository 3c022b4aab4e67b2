/** Runs the gateway soak for many seeds and reports one result. */
import { Bench, type BenchOptions } from '../types.js';
import { runSoak } from './runSoak.js';

/** Seeds of one run of the bench; `concurrentSeeds` of them run at the same time. */
const seedsPerRun = 50;
const concurrentSeeds = 4;
const durationMs = 8_000;

export class GatewaySoakBench extends Bench {
  override readonly name = 'soak';
  override readonly summary =
    'calls to gateway processes in 50 seeded runs with signals, link faults and store faults';
  override readonly unit = 'calls';

  protected override async measure({ seed, report }: BenchOptions): Promise<{
    baseline: null;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const seeds = Array.from(
      { length: seedsPerRun },
      (_, index) => seed * 1_000 + index,
    );
    let calls = 0;
    const failed: unknown[] = [];
    const runNext = async (): Promise<void> => {
      for (let next = seeds.shift(); next !== undefined; next = seeds.shift()) {
        const result = await runSoak(next, durationMs);
        calls += result.calls;
        report(
          `seed ${String(next)}: ${String(result.calls)} calls, ${String(result.broken.length)} broken, ${JSON.stringify(result.statuses)}`,
        );
        if (result.broken.length > 0) {
          failed.push(result);
        }
      }
    };
    await Promise.all(Array.from({ length: concurrentSeeds }, runNext));
    return { baseline: null, ours: calls, detail: { failed } };
  }
}
