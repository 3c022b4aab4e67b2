/** Membership: which backend servers an entry knows. */
export * from './subset.js';
export * from './relayChoice.js';
