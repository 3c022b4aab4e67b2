/** Entry point of the entry daemon. */
import { parseDaemonFlags } from '@lycheetally/common';
import { runEntry } from '@lycheetally/router';

await runEntry(parseDaemonFlags(process.argv));
