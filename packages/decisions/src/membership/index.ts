/** Membership: which backend servers an entry knows. */
export * from './subset.js';
