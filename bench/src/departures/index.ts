/** Callers that leave a gateway on a slow VM. */
export * from './countDepartures.js';
export * from './departuresBench.js';
export * from './runDepartures.js';
export * from './sendCalls.js';
