/** Decisions of a gateway: routes, keys and their freshness. */
export * from './declaredConfiguration.js';
export * from './durationForecast.js';
export * from './freshness.js';
export * from './bufferMemory.js';
export * from './memoryShares.js';
export * from './routeTable.js';
export * from './survivalForecast.js';
export * from './serverEntry.js';
export * from './storePosition.js';
export * from './types.js';
