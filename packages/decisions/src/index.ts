/** Pure decisions: no clock, no network, no charts; the time is an argument. */
export * from './admission.js';
export * from './load/decayingSum.js';
export * from './load/loadObserver.js';
export * from './load/loadReport.js';
export * from './load/stepModel.js';
export * from './load/tokenCost.js';
export * from './order/accountQueue.js';
export * from './order/queueBound.js';
export * from './order/queueDelay.js';
export * from './order/rankedOrder.js';
export * from './outcome.js';
export * from './retry.js';
export * from './routing.js';
export * from './routing/steadyShares.js';
export * from './types.js';
export * from './workOrder.js';
