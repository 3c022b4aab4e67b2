/** A soak test of gateway processes with faults injected from outside the processes. */
export * from './checkDeadlyCalls.js';
export * from './checkSoak.js';
export * from './checkStreams.js';
export * from './crashTrialBench.js';
export * from './gatewaySoakBench.js';
export * from './runSoak.js';
export * from './soakEvents.js';
export * from './soakScenario.js';
export * from './stopCuts.js';
export * from './types.js';
