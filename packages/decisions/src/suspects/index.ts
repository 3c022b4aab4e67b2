/** Decisions about parts of prompts that may crash backend servers. */
export * from './blamePolicy.js';
export * from './crashTimes.js';
export * from './servingTimes.js';
export * from './sightingSet.js';
