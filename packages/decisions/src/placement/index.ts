/** Where the layers of a model lie, and which servers a request passes. */
export * from './chainChoice.js';
export * from './placementPlan.js';
export * from './types.js';
