/** Bounds on what callers make a gateway keep. */
export * from './callerAccount.js';
