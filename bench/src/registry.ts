/** All benches by name. */
import { CapacityBench } from './capacityBench.js';
import { ControlCostBench } from './config/controlCostBench.js';
import { PropagationBench } from './config/propagationBench.js';
import { ChartBench } from './chartBench.js';
import { ChainRecoveryBench } from './chainRecoveryBench.js';
import { ClaimsBench } from './claimsBench.js';
import { FaultsBench } from './faultsBench.js';
import { BoundBench } from './policy/boundBench.js';
import { ChainChoiceBench } from './policy/chainChoiceBench.js';
import { DecideBench } from './policy/decideBench.js';
import { FairnessBench } from './policy/fairnessBench.js';
import { RanksBench } from './policy/ranksBench.js';
import { RecoverBench } from './policy/recoverBench.js';
import { DeparturesBench } from './departures/index.js';
import { CrashTrialBench, GatewaySoakBench } from './soak/index.js';
import { RelayBench } from './relayBench.js';
import type { Bench } from './types.js';

export const benches: readonly Bench[] = [
  new ChartBench(),
  new RelayBench(),
  new CapacityBench(),
  new PropagationBench(),
  new ControlCostBench(),
  new ChainRecoveryBench(),
  new ClaimsBench(),
  new FaultsBench(),
  new DeparturesBench(),
  new GatewaySoakBench(),
  new CrashTrialBench(),
  new BoundBench(),
  new RanksBench(),
  new FairnessBench(),
  new RecoverBench(),
  new DecideBench(),
  new ChainChoiceBench(),
];

/** Finds a bench by name. */
export const findBench = (name: string): Bench | undefined =>
  benches.find(bench => bench.name === name);
