/** `ts-results` for the bundle: its CommonJS build resolves modules in a way that a bundler cannot follow. */
import * as results from '../node_modules/ts-results/esm/index.js';

export default results;
