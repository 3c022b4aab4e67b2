/**
 * Decision logic that depends on no clock, network or state chart. Callers pass
 * the current time as an argument.
 */
export * from './admission.js';
export * from './claims/claimRecords.js';
export * from './claims/claimRules.js';
export * from './claims/appendBatchPolicy.js';
export * from './config/index.js';
export * from './admit/accountLimits.js';
export * from './admit/rateLimitedAdmission.js';
export * from './admit/intakeOrder.js';
export * from './admit/overloadPolicy.js';
export * from './admit/retryBudget.js';
export * from './admit/slidingRetryBudget.js';
export * from './load/accountBacklog.js';
export * from './load/decayingSum.js';
export * from './load/loadTracker.js';
export * from './load/loadObserver.js';
export * from './load/loadReport.js';
export * from './load/stepModel.js';
export * from './load/tokenCost.js';
export * from './order/accountQueue.js';
export * from './order/queueBound.js';
export * from './order/queueDelay.js';
export * from './order/rankedOrder.js';
export * from './membership/index.js';
export * from './outcome.js';
export * from './retry.js';
export * from './routing.js';
export * from './routing/completionForecast.js';
export * from './routing/fleetIndex.js';
export * from './routing/flowPlan.js';
export * from './routing/linkTable.js';
export * from './routing/predictiveRouting.js';
export * from './routing/maxFlow.js';
export * from './types.js';
export * from './workOrder.js';
export * from './gateway/index.js';
export * from './intake/index.js';
export * from './waiting/index.js';
export * from './balance/index.js';
export * from './callers/index.js';
export * from './placement/index.js';
export * from './suspects/index.js';
export * from './trouble/index.js';
