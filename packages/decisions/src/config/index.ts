/** Configuration: records, the rule that accepts them, replay and checks. */
export * from './acceptance.js';
export * from './checks.js';
export * from './edits.js';
export * from './records.js';
export * from './replay.js';
export * from './snapshots.js';
export * from './steps.js';
export * from './gateway/index.js';
