/** The daemon of an entry. */
import { parseDaemonFlags } from '@lycheetally/common';
import { runEntry } from '@lycheetally/router';

await runEntry(parseDaemonFlags(process.argv));
