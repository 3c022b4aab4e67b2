/** The daemon of an agent. */
import { parseDaemonFlags } from '@lycheetally/common';
import { runAgent } from '@lycheetally/router';

await runAgent(parseDaemonFlags(process.argv));
