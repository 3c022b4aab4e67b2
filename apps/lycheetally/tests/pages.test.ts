/** The generated pages match the schemas and the chart files. `npm run pages` updates them. */
import { readFileSync } from 'node:fs';
import { format } from 'prettier';
import { describe, expect, it } from 'vitest';
import { listSettings } from '@lycheetally/common';
import { platformSettingsSchema } from '@lycheetally/platform';
import { agentSettingsSchema, entrySettingsSchema } from '@lycheetally/router';
import { formatChartsPage } from '../src/commands/chartsCommand.js';
import { formatSettingsPage } from '../src/commands/settingsCommand.js';

const readDoc = (path: string): string =>
  readFileSync(new URL(`../../../docs/${path}`, import.meta.url), 'utf8');

const toPretty = (text: string): Promise<string> =>
  format(text, { parser: 'markdown', singleQuote: true, arrowParens: 'avoid' });

describe('the generated pages', () => {
  it('docs/SETTINGS.md is current', async () => {
    expect(readDoc('SETTINGS.md')).toBe(await toPretty(formatSettingsPage()));
  });

  it('docs/charts/README.md is current', async () => {
    expect(readDoc('charts/README.md')).toBe(
      await toPretty(formatChartsPage()),
    );
  });

  it.each([
    ['entry', entrySettingsSchema],
    ['agent', agentSettingsSchema],
    ['gateway', platformSettingsSchema],
  ])('every setting of an %s is described', (_, schema) => {
    const settings = listSettings(schema);
    expect(settings.length).toBeGreaterThan(8);
    const bare = settings.filter(setting => setting.description === '');
    expect(bare.map(({ section, key }) => `${section}.${key}`)).toEqual([]);
  });
});
