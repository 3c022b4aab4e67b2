/** Utilities that all packages share. */
export * from './boundedOutput.js';
export * from './byteCollector.js';
export * from './constants.js';
export * from './disposableStore.js';
export * from './emitter.js';
export * from './errors.js';
export * from './eventRingBuffer.js';
export * from './hash.js';
export * from './hybridClock.js';
export * from './logger.js';
export * from './processOutputs.js';
export * from './result.js';
export * from './settingOverrides.js';
export * from './settings.js';
export * from './settingsList.js';
export * from './typeChecks.js';
export * from './types.js';
