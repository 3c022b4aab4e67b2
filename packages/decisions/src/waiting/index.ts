/** How calls wait for room, give way and come back. */
export * from './waitingCall.js';
