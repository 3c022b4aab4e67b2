/** The daemon of an agent. */
import { readSettingsPath } from '@lycheetally/common';
import { runAgent } from '@lycheetally/router';

await runAgent(readSettingsPath(process.argv));
