/** The soak of the gateways as a bench: one result for many seeds. */
import { Bench, type BenchOptions } from '../types.js';
import { runSoak } from './runSoak.js';

/** Seeds of one run of the bench, played some at a time. */
const seedsPerRun = 50;
const atOnce = 4;
const durationMs = 8_000;

export class GatewaySoakBench extends Bench {
  override readonly name = 'soak';
  override readonly summary =
    'gateway processes under 50 seeds of signals, spoiled links and store trouble';
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
    await Promise.all(Array.from({ length: atOnce }, runNext));
    return { baseline: null, ours: calls, detail: { failed } };
  }
}
