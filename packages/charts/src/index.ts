/** State charts: their file format, their compiler and their interpreter. */
export * from './bindChart.js';
export * from './chart.js';
export * from './chartDefinition.js';
export * from './chartFiles.js';
export * from './chartMachine.js';
export * from './compileChart.js';
export * from './drawChart.js';
