/** `lycheetally settings`: lists every setting of the daemons from their schemas. */
import type { CAC } from 'cac';
import { ExitCode, listSettings, type SettingEntry } from '@lycheetally/common';
import { platformSettingsSchema } from '@lycheetally/platform';
import { agentSettingsSchema, entrySettingsSchema } from '@lycheetally/router';
import { Command } from './command.js';

const schemas = {
  entry: entrySettingsSchema,
  agent: agentSettingsSchema,
  gateway: platformSettingsSchema,
} as const;

interface SettingsFlags {
  readonly json?: boolean;
}

export class SettingsCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command('settings', 'Print all settings as a Markdown page')
      .option('--json', 'Print one line of JSON')
      .example('lycheetally settings > docs/SETTINGS.md')
      .action((flags: SettingsFlags) =>
        this.runAction(() => {
          process.stdout.write(
            flags.json === true
              ? `${JSON.stringify(listAllSettings())}\n`
              : formatSettingsPage(),
          );
          return Promise.resolve(ExitCode.Ok);
        }),
      );
  }
}

const listAllSettings = (): Record<string, SettingEntry[]> =>
  Object.fromEntries(
    Object.entries(schemas).map(([role, schema]) => [
      role,
      listSettings(schema),
    ]),
  );

/** Formats the page docs/SETTINGS.md. */
export const formatSettingsPage = (): string => {
  const roles = Object.entries(listAllSettings()).flatMap(
    ([role, settings]) => [`## ${role}`, '', ...formatSections(settings)],
  );
  const lines = [
    '# Settings',
    '',
    'Written by `lycheetally settings` from the schemas of the daemons; a test',
    'checks that this page is current. A settings file is INI. An environment',
    'variable overrides the file, and `--set section.key=value` overrides both.',
    '`--check` validates the settings and exits with code 0, or with code 2 and',
    'every fault on one line.',
    '',
    ...roles,
  ];
  return `${lines.join('\n').trimEnd()}\n`;
};

const formatSections = (settings: readonly SettingEntry[]): string[] =>
  [...new Set(settings.map(setting => setting.section))].flatMap(section => [
    `### [${section}]`,
    '',
    ...settings
      .filter(setting => setting.section === section)
      .map(formatSetting),
    '',
  ]);

const formatSetting = (setting: SettingEntry): string => {
  const requirement = setting.isRequired
    ? 'required'
    : `default ${setting.fallback === '' ? 'none' : `\`${setting.fallback}\``}`;
  return `- \`${setting.key}\` (${setting.values}, ${requirement}): ${setting.description}. Variable \`${setting.variable}\`.`;
};
