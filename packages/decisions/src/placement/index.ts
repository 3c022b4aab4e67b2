/** Placement of a model's layers on backend servers, and the choice of the chain for a request. */
export * from './chainChoice.js';
export * from './chainRepair.js';
export * from './committedRepair.js';
export * from './placementPlan.js';
export * from './repairMode.js';
export * from './types.js';
