/** The wait queues of a gateway, by service. */
export * from './callPlace.js';
export * from './callPlaces.js';
export * from './serviceQueue.js';
