/** Counts what a deadly call does to services of several sizes, and whether a popular sound call is blamed for crashes of other causes. */
import { waitFor } from '@lycheetally/testkit';
import { Bench, type BenchOptions } from '../types.js';
import { countCrashes, type CrashCounts } from './checkDeadlyCalls.js';
import { runCallers, runRepeatedCall, type SoakLoad } from './soakCallers.js';
import { SoakHarness, defaultProcesses } from './soakHarness.js';
import { SoakKind, deadlyBody, type SoakCall } from './types.js';

const durationMs = 40_000;
const restartMs = 3_200;
const routeTimeoutMs = 3_000;
const concurrentTrials = 2;
const popularBody = 'body of a popular call';
const popularPauseMs = 60;

interface Trial {
  readonly kind: SoakKind;
  readonly servers: number;
  readonly gateways: number;
  /** Time between two deadly calls, or between two crashes of other causes. */
  readonly pauseMs: number;
  /** Whether the servers crash of other causes beside a popular sound call. */
  readonly isSound?: boolean;
}

interface TrialResult extends Trial, CrashCounts {
  readonly popularCalls: number;
  readonly popularRefused: number;
}

const { Lookup, Booking, Stream } = SoakKind;

const trials: readonly Trial[] = [
  { kind: Lookup, servers: 6, gateways: 3, pauseMs: 1_900 },
  { kind: Booking, servers: 6, gateways: 3, pauseMs: 1_900 },
  { kind: Stream, servers: 6, gateways: 3, pauseMs: 1_500 },
  { kind: Lookup, servers: 3, gateways: 3, pauseMs: 700 },
  { kind: Booking, servers: 3, gateways: 3, pauseMs: 300 },
  { kind: Lookup, servers: 2, gateways: 3, pauseMs: 500 },
  { kind: Stream, servers: 3, gateways: 2, pauseMs: 400 },
  { kind: Booking, servers: 2, gateways: 5, pauseMs: 100 },
  { kind: Lookup, servers: 12, gateways: 5, pauseMs: 50 },
  { kind: Lookup, servers: 6, gateways: 3, pauseMs: 1_000, isSound: true },
  { kind: Lookup, servers: 3, gateways: 3, pauseMs: 4_000, isSound: true },
];

export class CrashTrialBench extends Bench {
  override readonly name = 'deadly';
  override readonly summary =
    'servers that calls kill, in services of 2 to 12 servers behind 2 to 5 gateways, and refusals of a popular sound call beside crashes of other causes';
  override readonly unit = 'crashes';

  protected override async measure({ seed, report }: BenchOptions): Promise<{
    baseline: null;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const waiting = [...trials];
    const results: TrialResult[] = [];
    const runNext = async (): Promise<void> => {
      for (let next = waiting.shift(); next; next = waiting.shift()) {
        const result = await runTrial(seed, next);
        report(JSON.stringify(result));
        results.push(result);
      }
    };
    await Promise.all(Array.from({ length: concurrentTrials }, runNext));
    const ours = results.reduce((sum, { crashes }) => sum + crashes, 0);
    return { baseline: null, ours, detail: { results } };
  }
}

const runTrial = async (seed: number, trial: Trial): Promise<TrialResult> => {
  const { servers, gateways, kind, isSound = false } = trial;
  const processes = { ...defaultProcesses, servers, gateways, restartMs };
  const harness = new SoakHarness(seed, routeTimeoutMs, processes);
  try {
    await harness.start();
    const load: SoakLoad = {
      seed,
      ports: harness.gateways.map(({ port }) => port),
      keys: [...harness.accounts.keys()],
      startedAt: harness.startedAt,
      durationMs,
    };
    const body = isSound ? popularBody : deadlyBody;
    const pauseMs = isSound ? popularPauseMs : trial.pauseMs;
    const [sound, repeated] = await Promise.all([
      runCallers(load),
      runRepeatedCall(load, { kind, body, pauseMs }),
      isSound ? cutServers(harness, trial.pauseMs) : undefined,
    ]);
    const record = { serverCount: 0, deadlyRuns: [], outages: [] };
    const calls = [...sound, ...repeated];
    return {
      ...trial,
      ...countCrashes(harness.getCrashes() ?? record, { calls, resets: [] }),
      popularCalls: isSound ? repeated.length : 0,
      popularRefused: isSound ? repeated.filter(isRefused).length : 0,
    };
  } finally {
    await harness.dispose();
  }
};

const isRefused = ({ status }: SoakCall): boolean => status === 503;

/** Kills the server processes in turn, while more than half of them live. */
const cutServers = async (
  { serverProcesses }: SoakHarness,
  pauseMs: number,
): Promise<void> => {
  for (let cut = 0; cut < durationMs / pauseMs; cut += 1) {
    const down = serverProcesses.filter(({ isDown }) => isDown);
    if (down.length < Math.floor((serverProcesses.length - 1) / 2)) {
      serverProcesses[cut % serverProcesses.length]?.cut();
    }
    await waitFor(pauseMs);
  }
};
