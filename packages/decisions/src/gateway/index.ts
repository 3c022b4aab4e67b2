/** Decisions of a gateway: routes, keys and their freshness. */
export * from './durationForecast.js';
export * from './freshness.js';
export * from './responseMemory.js';
export * from './routeTable.js';
export * from './survivalForecast.js';
export * from './serverEntry.js';
export * from './storePosition.js';
export * from './types.js';
