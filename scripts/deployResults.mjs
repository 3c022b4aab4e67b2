/** The ES build of `ts-results` for the bundle; esbuild cannot resolve the modules of its CommonJS build. */
import * as results from '../node_modules/ts-results/esm/index.js';

export default results;
