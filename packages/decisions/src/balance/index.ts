/** How load is spread over servers and gateways. */
export * from './room.js';
