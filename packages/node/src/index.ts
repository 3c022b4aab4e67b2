/** What every process has: one loop, and the time it goes by. */
export * from './clock.js';
export * from './constants.js';
export * from './loop.js';
export * from './httpClient.js';
export * from './listen.js';
