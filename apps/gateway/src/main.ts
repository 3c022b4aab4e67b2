/** The daemon of a gateway. */
import { parseDaemonFlags } from '@lycheetally/common';
import { runGateway } from './runGateway.js';

await runGateway(parseDaemonFlags(process.argv));
