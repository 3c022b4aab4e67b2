/** All benches by name. */
import { ControlCostBench } from './config/controlCostBench.js';
import { PropagationBench } from './config/propagationBench.js';
import { ChartBench } from './chartBench.js';
import { FaultsBench } from './faultsBench.js';
import { RelayBench } from './relayBench.js';
import type { Bench } from './types.js';

export const benches: readonly Bench[] = [
  new ChartBench(),
  new RelayBench(),
  new PropagationBench(),
  new ControlCostBench(),
  new FaultsBench(),
];

/** Finds a bench by name. */
export const findBench = (name: string): Bench | undefined =>
  benches.find(bench => bench.name === name);
