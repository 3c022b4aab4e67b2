/** The benches, the load tool and the demo. */
export * from './demo.js';
export * from './departures/index.js';
export * from './faultsBench.js';
export * from './load/index.js';
export * from './registry.js';
export * from './types.js';
export * from './soak/index.js';
