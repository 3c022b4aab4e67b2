/** Exports the gateway daemon to the command line. */
export * from './runGateway.js';
