/**
 * Measures booking calls per second on a log limited to 300 appends per second.
 *
 * The baseline writes each record with its own append; ours batches records
 * into appends. The added latency is that of a call with an idempotency key
 * over one without, for a single caller.
 */
import {
  RouterFleet,
  callService,
  defaultFleetOptions,
  fleetNames,
} from '@lycheetally/testkit';
import { Bench, type BenchOptions } from './types.js';

const appendsPerSecond = 300;
const callers = 96;
const loadMs = 5_000;
const singleCalls = 60;

interface ClaimMeasurement {
  readonly callsPerSecond: number;
  readonly appends: number;
  readonly p95Ms: number;
  /** Median latency of a keyed call of a single caller, minus that of a call without a key. */
  readonly addedMs: number;
  readonly others: number;
}

const computeQuantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
};

const callBooking = (
  fleet: RouterFleet,
  entry: number,
  key: string | undefined,
): ReturnType<typeof callService> =>
  callService(
    fleet.entryUrls[entry % fleet.entryUrls.length] ?? '',
    fleetNames.booking,
    '/reserve',
    { key: key ?? '' },
    key === undefined ? {} : { idempotencyKey: key },
  );

const measureMedian = async (
  fleet: RouterFleet,
  createKey: (index: number) => string | undefined,
): Promise<number> => {
  const times: number[] = [];
  for (let index = 0; index < singleCalls; index += 1) {
    const startedAt = performance.now();
    await callBooking(fleet, 0, createKey(index));
    times.push(performance.now() - startedAt);
  }
  return computeQuantile(times, 0.5);
};

const countAppends = async (fleet: RouterFleet): Promise<number> => {
  const counts = (await fleet.get(`${fleet.logUrl}/counts`)) as {
    appends: number;
  };
  return counts.appends;
};

const measureLoad = async (
  fleet: RouterFleet,
  addedMs: number,
): Promise<ClaimMeasurement> => {
  const before = await countAppends(fleet);
  const startedAt = performance.now();
  const times: number[] = [];
  let others = 0;
  const runCaller = async (caller: number): Promise<void> => {
    for (let call = 0; performance.now() - startedAt < loadMs; call += 1) {
      const calledAt = performance.now();
      const key = `load-${String(caller)}-${String(call)}`;
      const { outcome } = await callBooking(fleet, caller, key);
      if (outcome === 'complete') {
        times.push(performance.now() - calledAt);
      } else {
        others += 1;
      }
    }
  };
  await Promise.all(
    Array.from({ length: callers }, (_, caller) => runCaller(caller)),
  );
  const seconds = (performance.now() - startedAt) / 1_000;
  return {
    callsPerSecond: times.length / seconds,
    appends: (await countAppends(fleet)) - before,
    p95Ms: computeQuantile(times, 0.95),
    addedMs,
    others,
  };
};

const measureVariant = async (
  batching: 'group' | 'single',
): Promise<ClaimMeasurement> => {
  const fleet = new RouterFleet({
    ...defaultFleetOptions,
    entries: 2,
    stages: 1,
    plainServers: 2,
    plainMs: 2,
    slots: callers,
    entrySections: { claims: { batching, streams: 2 } },
  });
  try {
    await fleet.start();
    await fleet.setLogFaults({ appendsPerSecond });
    await measureMedian(fleet, () => undefined);
    const plainMs = await measureMedian(fleet, () => undefined);
    const keyedMs = await measureMedian(fleet, index => `one-${String(index)}`);
    return await measureLoad(fleet, keyedMs - plainMs);
  } finally {
    await fleet.dispose();
  }
};

export class ClaimsBench extends Bench {
  override readonly name = 'claims';
  override readonly summary =
    'booking calls per second at 300 appends per second, batched and with one append per record';
  override readonly unit = 'calls/s';

  protected override async measure({ report }: BenchOptions): Promise<{
    baseline: number;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    report('Measuring one append per record');
    const single = await measureVariant('single');
    report('Measuring batched appends');
    const group = await measureVariant('group');
    return {
      baseline: single.callsPerSecond,
      ours: group.callsPerSecond,
      detail: { callers, appendsPerSecond, single, group },
    };
  }
}
