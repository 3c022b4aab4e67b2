/** The calls of a trial: a steady stream of them and bursts, whose callers leave when they have waited long enough. */
import { millisecondsPerSecond } from '@lycheetally/common';
import { SeededRandom, waitFor } from '@lycheetally/testkit';
import { DepartingCaller, DepartureKind } from './departingCaller.js';

export interface DepartureTrial {
  readonly seed: number;
  readonly durationMs: number;
  /** Time that the gateway runs in each tenth of a second, in milliseconds; all of it with 100. */
  readonly runMs: number;
  readonly callsPerSecond: number;
  /** Calls that come at the same moment, each on a new connection, and the time between two such moments. */
  readonly burst: number;
  readonly burstIntervalMs: number;
  /** Time that calls name and after which their callers leave; drawn from between the two. */
  readonly patienceMs: readonly [number, number];
  /** Time that servers run a call; one in ten runs for `longRunMs`. */
  readonly serverMs: number;
}

/** What the process of the callers is told. */
export interface CallersOrder {
  readonly trial: DepartureTrial;
  readonly port: number;
}

export interface EndedCaller {
  readonly id: string;
  /** When it closed its connection without an answer, by `Date.now()`. */
  readonly leftAt?: number | undefined;
  /** Status of the answer; 0 without one. */
  readonly status: number;
}

/** One call in so many runs for longer. */
const longRunShare = 10;
const longRunMs = 3_000;

/** Sends the calls of a trial, and returns how each ended. */
export const sendCalls = async ({
  trial,
  port,
}: CallersOrder): Promise<readonly EndedCaller[]> => {
  const random = new SeededRandom(trial.seed);
  const callers: DepartingCaller[] = [];
  const kinds = Object.values(DepartureKind);
  const [shortest, longest] = trial.patienceMs;
  const addCaller = (): void => {
    const isLong = random.pickInteger(longRunShare) === 0;
    callers.push(
      new DepartingCaller({
        id: `${String(trial.seed)}-${String(callers.length)}`,
        port,
        runMs: isLong ? longRunMs : trial.serverMs,
        patienceMs: shortest + random.pickInteger(longest - shortest + 1),
        kind: random.pickOne(kinds),
      }),
    );
  };
  const startedAt = Date.now();
  const endsAt = startedAt + trial.durationMs;
  let nextBurstAt = startedAt + trial.burstIntervalMs;
  while (Date.now() < endsAt) {
    addCaller();
    if (Date.now() >= nextBurstAt) {
      nextBurstAt += trial.burstIntervalMs;
      for (let count = 0; count < trial.burst; count += 1) {
        addCaller();
      }
    }
    await waitFor(millisecondsPerSecond / trial.callsPerSecond);
  }
  await Promise.all(callers.map(({ ended }) => ended));
  return callers.map(({ call, leftAt, status }) => ({
    id: call.id,
    leftAt,
    status,
  }));
};
