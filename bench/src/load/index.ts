/** The load generator, which runs experiments and reports on them. */
export * from './arrivals.js';
export * from './experiment.js';
export * from './loadReport.js';
export * from './reconcile.js';
export * from './reportFiles.js';
export * from './runLoad.js';
