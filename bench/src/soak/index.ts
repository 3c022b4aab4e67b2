/** A soak of gateway processes under trouble made from outside them. */
export * from './checkSoak.js';
export * from './gatewaySoakBench.js';
export * from './runSoak.js';
export * from './types.js';
