/** The event loop, clocks and HTTP helpers that every process uses. */
export * from './arrivalWatch.js';
export * from './bodyEndWatch.js';
export * from './clock.js';
export * from './connectionEnd.js';
export * from './constants.js';
export * from './eventLoop.js';
export * from './eventQueue.js';
export * from './httpClient.js';
export * from './garbageCollector.js';
export * from './listen.js';
export * from './messageHead.js';
export * from './scheduleAfterPoll.js';
export * from './turnClock.js';
export * from './turnSource.js';
export * from './viewGate.js';
