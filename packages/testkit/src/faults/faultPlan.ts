/** Plans faults from a seed and runs the plan against a fleet. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RouterFleet } from '../fleet/routerFleet.js';
import { waitFor } from '../standIns/standInServer.js';
import {
  ClosedLink,
  CutLink,
  FrozenProcess,
  KilledAgent,
  LogOutage,
  LostLogAnswers,
  SilentLink,
  SlowLink,
  type Fault,
} from './fault.js';
import { Direction } from './tcpRelay.js';

/** A seeded pseudorandom number generator. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from 0 up to but excluding the bound. */
  pickInteger(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /** Returns one of the values. Throws if there are none. */
  pickOne<T>(values: readonly T[]): T {
    const value = values[this.pickInteger(values.length)];
    if (value === undefined) {
      throw new Error('Cannot pick from an empty list');
    }
    return value;
  }
}

/** A fault and the times at which it begins and ends, from the start of the plan. */
export interface PlannedFault {
  readonly fault: Fault;
  readonly beginMs: number;
  readonly endMs: number;
}

const directionSets: readonly (readonly Direction[])[] = [
  [Direction.Forward],
  [Direction.Backward],
  [Direction.Forward, Direction.Backward],
];
const linkDelaysMs = [20, 150, 600];
const maxBeginMs = 150;
const minDurationMs = 200;
const maxDurationMs = 2_600;

/** Creates a fault with a randomly chosen target. */
type FaultFactory = (fleet: RouterFleet, random: SeededRandom) => Fault;

const pickServer: (fleet: RouterFleet, random: SeededRandom) => string = (
  fleet,
  random,
) => random.pickOne([...fleet.backendUrls.keys()]);

const pickLink: typeof pickServer = (fleet, random) =>
  random.pickOne(fleet.listRelayedProcesses());

const faultFactories: readonly FaultFactory[] = [
  (fleet, random) => new KilledAgent(pickServer(fleet, random)),
  (fleet, random) => new FrozenProcess(`agent-${pickServer(fleet, random)}`),
  (fleet, random) => new FrozenProcess(pickBackendProcess(fleet, random)),
  (fleet, random) => new CutLink(pickLink(fleet, random)),
  (fleet, random) => new ClosedLink(pickLink(fleet, random)),
  (fleet, random) =>
    new SilentLink(pickLink(fleet, random), random.pickOne(directionSets)),
  (fleet, random) =>
    new SlowLink(pickLink(fleet, random), random.pickOne(linkDelaysMs)),
  () => new LogOutage(),
  (_, random) => new LostLogAnswers(1 + random.pickInteger(3)),
];

const pickBackendProcess: typeof pickServer = (fleet, random) =>
  random.pickOne(
    fleet.processes
      .listProcesses()
      .map(process => process.name)
      .filter(name => /^(engine|service)-/.test(name)),
  );

/**
 * Plans a number of faults. They may overlap, but only one may kill or freeze a
 * given process.
 */
export const makeFaultPlan = (
  fleet: RouterFleet,
  random: SeededRandom,
  count: number,
): PlannedFault[] => {
  const planned: PlannedFault[] = [];
  while (planned.length < count) {
    const fault = random.pickOne(faultFactories)(fleet, random);
    const beginMs = random.pickInteger(maxBeginMs);
    const durationRangeMs = maxDurationMs - minDurationMs;
    const endMs = beginMs + minDurationMs + random.pickInteger(durationRangeMs);
    if (planned.every(each => !isOnSameProcess(each.fault, fault))) {
      planned.push({ fault, beginMs, endMs });
    }
  }
  return planned;
};

// A killed process can't be frozen as well.
const isOnSameProcess = (one: Fault, other: Fault): boolean => {
  const isProcessFault = (fault: Fault): boolean =>
    fault instanceof KilledAgent || fault instanceof FrozenProcess;
  const getTarget = (fault: Fault): string => fault.name.split(' ')[1] ?? '';
  return (
    isProcessFault(one) &&
    isProcessFault(other) &&
    getTarget(one) === getTarget(other)
  );
};

/** Begins and ends each fault at its planned time; resolves when all have ended. */
export const runFaultPlan = async (
  fleet: RouterFleet,
  plan: readonly PlannedFault[],
): Promise<void> => {
  await Promise.all(
    plan.map(async ({ fault, beginMs, endMs }) => {
      await waitFor(beginMs);
      await fault.begin(fleet);
      await waitFor(endMs - beginMs);
      await fault.end(fleet);
    }),
  );
};
