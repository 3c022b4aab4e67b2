/** Tests setting overrides, the list of settings, and the escaping of log lines. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { z } from 'zod';
import {
  collectOverrides,
  formatLogLine,
  listSettings,
  parseDaemonFlags,
  parseSettings,
} from '../src/index.js';

const schema = z.strictObject({
  process: z.strictObject({
    id: z.string().describe('Name'),
    drainSeconds: z.coerce
      .number({ error: 'write a number' })
      .min(1, 'write at least 1')
      .max(60)
      .default(30),
  }),
});

const text = '[process]\nid=from-file\n';

describe('overrides', () => {
  it('prefer the environment to the file and flags to both', () => {
    const environment = {
      LYCHEETALLY_PROCESS_ID: 'from-environment',
      LYCHEETALLY_PROCESS_DRAIN_SECONDS: '5',
      LYCHEETALLY_NODES: 'not a setting',
    };
    const flags = ['process.id=from=flag'];
    const overrides = collectOverrides(schema, environment, flags);
    expect(parseSettings('a.ini', text, schema, overrides).val).toEqual({
      process: { id: 'from=flag', drainSeconds: 5 },
    });
  });

  it('name their origin in an error message', () => {
    const environment = { LYCHEETALLY_PROCESS_DRAIN_SECONDS: '0' };
    const overrides = collectOverrides(schema, environment, [
      'process.colour=red',
    ]);
    const parsed = parseSettings('a.ini', text, schema, overrides);
    const message = parsed.err ? parsed.val.message : '';
    expect(message).toContain(
      'environment LYCHEETALLY_PROCESS_DRAIN_SECONDS: process.drainSeconds: write at least 1',
    );
    expect(message).toContain('"colour"');
  });

  it('reject a malformed flag', () => {
    expect(() => collectOverrides(schema, {}, ['drain=5'])).toThrow(
      'write --set section.key=value',
    );
  });

  it('are parsed from the command line', () => {
    const words = '--settings a.ini --set a.b=1 --check --set c.d=2';
    expect(parseDaemonFlags(words.split(' '))).toEqual({
      settings: 'a.ini',
      set: ['a.b=1', 'c.d=2'],
      isCheck: true,
    });
  });
});

describe('listSettings', () => {
  it('describes the accepted values, the default and the environment variable of a setting', () => {
    expect(listSettings(schema)[1]).toEqual({
      section: 'process',
      key: 'drainSeconds',
      variable: 'LYCHEETALLY_PROCESS_DRAIN_SECONDS',
      description: '',
      isRequired: false,
      fallback: '30',
      values: '1 to 60',
    });
  });
});

describe('log lines', () => {
  it('stay one line of JSON whatever the values hold', () => {
    const hostile = fc.string({ unit: 'binary', maxLength: 60 });
    fc.assert(
      fc.property(hostile, hostile, (message, account) => {
        const line = formatLogLine({
          level: 'info',
          message,
          component: 'ledger',
          account,
        });
        expect(line).not.toMatch(/\p{Cc}/u);
        expect(JSON.parse(line)).toMatchObject({ account });
      }),
      { seed: 15, numRuns: 500 },
    );
  });
});
