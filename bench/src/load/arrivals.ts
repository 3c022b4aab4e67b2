/**
 * Plans the arrivals of an experiment before it starts.
 *
 * The load is open-loop: a request is sent at its planned time whether or not
 * earlier ones were answered. Arrivals are a Poisson process, thinned to the
 * profile's rate, and the same seed gives the same plan.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { mersenne } from 'pure-rand/generator/mersenne';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import {
  LoadProfile,
  type Experiment,
  type Phase,
  type Traffic,
} from './experiment.js';

/** One planned request. */
export interface Arrival {
  /** Index of the request in the plan, from 0. */
  readonly number: number;
  /** Milliseconds after the start of the experiment. */
  readonly atMs: number;
  readonly phase: string;
  readonly traffic: string;
  readonly account: string;
}

const millisecondsPerSecond = 1_000;

/** Length of one on-off cycle of a burst; the first half is at the raised rate. */
const burstCycleSeconds = 1;

/** Plans all arrivals, sorted by time. */
export const planArrivals = (experiment: Experiment): Arrival[] => {
  // Mersenne Twister, since xoroshiro's first numbers are close to 0 and 1 for small seeds.
  const random = mersenne(experiment.experiment.seed);
  const arrivals: Omit<Arrival, 'number'>[] = [];
  let startsAt = 0;
  for (const [name, phase] of Object.entries(experiment.phase)) {
    for (const [traffic, settings] of Object.entries(experiment.traffic)) {
      const usesProfile =
        phase.traffic === undefined || phase.traffic === traffic;
      const times = planTimes(settings, phase, usesProfile, random);
      for (const seconds of times) {
        const atMs = (startsAt + seconds) * millisecondsPerSecond;
        const account = pickAccount(settings, random);
        arrivals.push({ atMs, phase: name, traffic, account });
      }
    }
    startsAt += phase.seconds;
  }
  return arrivals
    .sort((a, b) => a.atMs - b.atMs)
    .map((arrival, number) => ({ number, ...arrival }));
};

/** Thinning after Lewis and Shedler: draws times at the peak rate and keeps a share of them. */
const planTimes = (
  traffic: Traffic,
  phase: Phase,
  usesProfile: boolean,
  random: RandomGenerator,
): number[] => {
  const times: number[] = [];
  const profile = usesProfile ? phase.profile : LoadProfile.Poisson;
  const factor = profile === LoadProfile.Poisson ? 1 : phase.factor;
  const peakRate = traffic.rate * factor;
  let time = 0;
  for (;;) {
    time += -Math.log(1 - uniformFloat64(random)) / peakRate;
    if (time >= phase.seconds) {
      return times;
    }
    const rateFactor = computeRateFactor(profile, factor, time, phase.seconds);
    if (uniformFloat64(random) * factor < rateFactor) {
      times.push(time);
    }
  }
};

/** Returns the rate at a time within a phase, as a multiple of the base rate. */
export const computeRateFactor = (
  profile: LoadProfile,
  factor: number,
  time: number,
  length: number,
): number => {
  switch (profile) {
    case LoadProfile.Poisson:
      return 1;
    case LoadProfile.Flood:
      return factor;
    case LoadProfile.Burst:
      return time % burstCycleSeconds < burstCycleSeconds / 2 ? factor : 1;
    case LoadProfile.Storm:
      return 1 + (factor - 1) * (1 - Math.abs((2 * time) / length - 1));
  }
};

const pickAccount = (traffic: Traffic, random: RandomGenerator): string => {
  const total = traffic.accounts.reduce((sum, each) => sum + each.share, 0);
  let remaining = uniformFloat64(random) * total;
  for (const { account, share } of traffic.accounts) {
    remaining -= share;
    if (remaining < 0) {
      return account;
    }
  }
  return traffic.accounts.at(-1)?.account ?? '';
};
