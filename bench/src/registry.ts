/** All benches by name. */
import { CapacityBench } from './capacityBench.js';
import { ChartBench } from './chartBench.js';
import { FaultsBench } from './faultsBench.js';
import { RelayBench } from './relayBench.js';
import type { Bench } from './types.js';

export const benches: readonly Bench[] = [
  new ChartBench(),
  new RelayBench(),
  new CapacityBench(),
  new FaultsBench(),
];

/** Finds a bench by name. */
export const findBench = (name: string): Bench | undefined =>
  benches.find(bench => bench.name === name);
