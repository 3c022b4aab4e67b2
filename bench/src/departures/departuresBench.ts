/** Counts calls that a gateway on a slow VM sends on after their callers have left. */
import { Bench, type BenchOptions } from '../types.js';
import { runDepartures, type DepartureResult } from './runDepartures.js';
import type { DepartureTrial } from './sendCalls.js';

const defaults = {
  durationMs: 20_000,
  runMs: 12,
  callsPerSecond: 50,
  burst: 1_200,
  burstIntervalMs: 3_000,
  patienceMs: [900, 900],
  serverMs: 60,
} as const;

const changes: readonly Partial<DepartureTrial>[] = [
  {},
  { runMs: 16, burst: 1_500 },
  { runMs: 25, burst: 2_000, patienceMs: [480, 480] },
  { runMs: 8, burst: 1_500 },
  { runMs: 6, burst: 1_000, patienceMs: [270, 1_530] },
];

export class DeparturesBench extends Bench {
  override readonly name = 'departures';
  override readonly summary =
    'calls that reach servers, or go on there, after their callers have left, at a gateway with 6 to 25 in 100 of a core under bursts of new connections';
  override readonly unit = 'calls that reached a server late';

  protected override async measure({ seed, report }: BenchOptions): Promise<{
    baseline: null;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const results: (Partial<DepartureTrial> & DepartureResult)[] = [];
    for (const change of changes) {
      const result = await runDepartures({ ...defaults, ...change, seed });
      results.push({ ...change, ...result });
      report(JSON.stringify({ ...change, ...result, longTurns: undefined }));
    }
    const ours = results.reduce((sum, each) => sum + each.reachedLate, 0);
    return { baseline: null, ours, detail: { results } };
  }
}
