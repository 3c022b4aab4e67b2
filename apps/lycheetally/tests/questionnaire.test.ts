/** Answers are converted to a configuration file, and all faults of a file are reported. */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';
import {
  formatFault,
  formatConfigFile,
  parseConfigFile,
} from '@lycheetally/router';
import { formatDifference } from '../src/commands/configDifference.js';
import {
  KeyGenerator,
  buildFiles,
  parseAnswers,
} from '../src/questionnaire/answers.js';

class FixedKeyGenerator extends KeyGenerator {
  override createKey(account: string): string {
    return `secret-of-${account}`;
  }

  override createSalt(account: string): string {
    return `salt-of-${account}`;
  }
}

const readExample = (name: string): string =>
  readFileSync(
    fileURLToPath(
      new URL(`../../../examples/${name}/answers.ini`, import.meta.url),
    ),
    'utf8',
  );

const buildExample = (name: string): string => {
  const answers = parseAnswers('answers.ini', readExample(name)).unwrap();
  const files = buildFiles('answers.ini', answers, new FixedKeyGenerator());
  return files.unwrap().configuration;
};

describe('the questionnaire', () => {
  it.each([
    [
      'cedarline',
      ['family', 'shift-summary', 'donor-report'],
      ['bc-south-a', 'bc-south-b', 'bc-south-c'],
    ],
    [
      'ammaccature',
      ['estimate', 'panel-summary', 'overnight-summary'],
      ['zona-brescia', 'zona-verona', 'zona-modena'],
    ],
  ])('builds the complete configuration of %s', (name, ranks, domains) => {
    const text = buildExample(name);
    const configuration = parseConfigFile(text).unwrap();
    expect(configuration.ranks.map(rank => rank.name)).toEqual(ranks);
    expect(configuration.failureDomains?.map(each => each.name)).toEqual(
      domains,
    );
    expect(configuration.accounts).toHaveLength(10);
    expect(configuration.services.map(each => each.workers)).toEqual([
      40, 3, 3,
    ]);
    expect(configuration.services.map(each => each.idempotent)).toEqual([
      true,
      false,
      true,
    ]);
    expect(text).not.toContain('secret-of');
  });

  it('reports every fault of an answers file', () => {
    const parsed = parseAnswers('answers.ini', '[organisation]\nname=x\n');
    expect(parsed.err && parsed.val.message).toMatch(
      /region.*failureDomains.*accounts.*rank.*service/,
    );
  });
});

describe('a configuration file', () => {
  it('is unchanged after formatting and parsing', () => {
    const configuration = parseConfigFile(buildExample('cedarline')).unwrap();
    const again = parseConfigFile(formatConfigFile(configuration)).unwrap();
    expect(again).toEqual(configuration);
    expect(formatDifference(configuration, again)).toEqual([]);
  });

  it('reports section, key, fault and remedy of every fault at once', () => {
    const text =
      '[rank.a]\nurgency=x\nfloor=2\ntargetMs=5\ncolour=red\n[service.b c]\nkind=odd\n[oops]\na=1\n[account.d]\nkeyHash=plain\n[account.d]\nweight=1\n';
    const parsed = parseConfigFile(text);
    const lines = parsed.err
      ? parsed.val.map(fault => formatFault('config.ini', fault))
      : [];
    for (const expected of [
      'config.ini: [account.d] (section): the section is defined twice; merge',
      'config.ini: [rank.a] urgency: is not a number; write digits',
      'config.ini: [rank.a] floor: is too large; write at most 1',
      'config.ini: [rank.a] colour: is not a known key; remove it',
      'config.ini: [service.b c] (section): is not a valid name; use',
      'config.ini: [account.d] keyHash: is not a salted hash; run',
      'config.ini: [(file)] oops: is not a known key; remove it',
    ]) {
      expect(lines.some(line => line.startsWith(expected))).toBe(true);
    }
  });

  it('reports accounts that do not exist and floors that add up to more than 1', () => {
    const text = buildExample('cedarline')
      .replace('floor=0.15', 'floor=0.6')
      .replace('accounts=depot-north', 'accounts=nobody');
    const parsed = parseConfigFile(text);
    const faults = parsed.err ? parsed.val.map(each => each.fault) : [];
    expect(faults).toEqual([
      'the floors add up to 1.15',
      'the client account "nobody" does not exist',
    ]);
  });
});
