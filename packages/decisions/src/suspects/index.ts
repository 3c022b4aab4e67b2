/** Decisions about prompt parts and whole calls that may crash backend servers. */
export * from './blamePolicy.js';
export * from './crashSteps.js';
export * from './crashTimes.js';
export * from './serverRuns.js';
export * from './servingTimes.js';
export * from './sightingSet.js';
export * from './suspectPlacement.js';
export * from './suspectVerdict.js';
export * from './unservedCall.js';
export * from './unservedPart.js';
