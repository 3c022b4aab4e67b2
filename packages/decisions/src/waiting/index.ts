/** How calls wait for room, give way and come back. */
export * from './adaptiveConcurrency.js';
export * from './callQueue.js';
export * from './concurrencyLimit.js';
export { defaultPauseTargetMs } from './constants.js';
export * from './placeForecast.js';
export * from './returnTimes.js';
export * from './waitCost.js';
export * from './waitingCall.js';
