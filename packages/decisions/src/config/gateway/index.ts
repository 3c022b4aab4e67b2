/** Checks and comparison of gateway configurations. */
export * from './checkGatewayConfiguration.js';
export * from './configurationCheck.js';
export * from './configurationDifference.js';
export * from './configurationFinding.js';
