/** All benches by name. */
import { ChartBench } from './chartBench.js';
import { BoundBench } from './policy/boundBench.js';
import { FairnessBench } from './policy/fairnessBench.js';
import { RanksBench } from './policy/ranksBench.js';
import { RelayBench } from './relayBench.js';
import type { Bench } from './types.js';

export const benches: readonly Bench[] = [
  new ChartBench(),
  new RelayBench(),
  new BoundBench(),
  new RanksBench(),
  new FairnessBench(),
];

/** Finds a bench by name. */
export const findBench = (name: string): Bench | undefined =>
  benches.find(bench => bench.name === name);
