/** The daemon of an entry. */
import { runEntry } from '@lycheetally/router';
import { readSettingsPath } from '@lycheetally/common';

await runEntry(readSettingsPath(process.argv));
