/** Runs the gateway soak for many seeds and reports one result. */
import { Bench, type BenchOptions } from '../types.js';
import { runSoak } from './runSoak.js';
import {
  BreakScenario,
  CrashScenario,
  FaultScenario,
  LeavingScenario,
  PausedFaultScenario,
  PausedScenario,
  PlannedScenario,
  RestoringScenario,
  StopScenario,
  type SoakScenario,
} from './soakScenario.js';

/** Seeds of one run of the bench, by scenario; `concurrentSeeds` of them run at the same time. */
const faultSeeds = 50;
const leavingSeeds = 50;
const plannedSeeds = 20;
const stopSeeds = 20;
const restoringSeeds = 20;
const pausedSeeds = 20;
const crashSeeds = 20;
const breakSeeds = 50;
const concurrentSeeds = 4;
const durationMs = 8_000;

export class GatewaySoakBench extends Bench {
  override readonly name = 'soak';
  override readonly summary =
    'calls to gateway processes in 50 seeded runs with signals, link faults and store faults, in 50 with servers that leave meanwhile, in 20 with planned work only, in 20 with stops of gateways that started seconds before, in 20 with a store that comes back from older copies, in 40 with pauses of sound servers, in 20 with calls that kill their servers, and in 50 with answers that break off';
  override readonly unit = 'calls';

  protected override async measure({ seed, report }: BenchOptions): Promise<{
    baseline: null;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const runs = [
      ...listRuns(new FaultScenario(), seed, faultSeeds),
      ...listRuns(new LeavingScenario(), seed, leavingSeeds),
      ...listRuns(new PlannedScenario(), seed, plannedSeeds),
      ...listRuns(new StopScenario(), seed, stopSeeds),
      ...listRuns(new RestoringScenario(), seed, restoringSeeds),
      ...listRuns(new PausedScenario(), seed, pausedSeeds),
      ...listRuns(new PausedFaultScenario(), seed, pausedSeeds),
      ...listRuns(new CrashScenario(), seed, crashSeeds),
      ...listRuns(new BreakScenario(), seed, breakSeeds),
    ];
    let calls = 0;
    const failed: unknown[] = [];
    const runNext = async (): Promise<void> => {
      for (let next = runs.shift(); next; next = runs.shift()) {
        const { scenario } = next;
        const result = await runSoak(next.seed, durationMs, scenario);
        calls += result.calls;
        report(
          `${scenario.name}, seed ${String(next.seed)}: ${String(result.calls)} calls, ${String(result.broken.length)} broken, ${JSON.stringify(result.statuses)}, cut by stops ${JSON.stringify(result.cuts)}, deadly calls ${JSON.stringify(result.crashes)}, streams ${JSON.stringify(result.streams)}`,
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

interface SeededRun {
  readonly seed: number;
  readonly scenario: SoakScenario;
}

const listRuns = (
  scenario: SoakScenario,
  seed: number,
  count: number,
): SeededRun[] =>
  Array.from({ length: count }, (_, index) => ({
    seed: seed * 1_000 + index,
    scenario,
  }));
