/** The daemon of a gateway, for the command line. */
export * from './runGateway.js';
