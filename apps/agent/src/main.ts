/** Entry point of the agent daemon. */
import { parseDaemonFlags } from '@lycheetally/common';
import { runAgent } from '@lycheetally/router';

await runAgent(parseDaemonFlags(process.argv));
