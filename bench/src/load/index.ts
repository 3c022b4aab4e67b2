/** The load and experiment tool. */
export * from './arrivals.js';
export * from './experiment.js';
export * from './loadReport.js';
export * from './reconcile.js';
export * from './reportFiles.js';
export * from './runLoad.js';
