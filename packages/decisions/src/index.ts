/** Pure decisions: no clock, no network, no charts; the time is an argument. */
export * from './admission.js';
export * from './config/index.js';
export * from './outcome.js';
export * from './retry.js';
export * from './routing.js';
export * from './types.js';
export * from './workOrder.js';
