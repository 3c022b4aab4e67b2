/** Decisions about trouble that much of a fleet shares. */
export * from './fleetTrouble.js';
export * from './sharedSilence.js';
