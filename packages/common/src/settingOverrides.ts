/** Overrides of settings from environment variables and flags; flags take precedence. */
import { ErrorKind, TypedError } from './errors.js';
import { listSettings } from './settingsList.js';
import { isRecord } from './typeChecks.js';
import type { z } from 'zod';

/** A setting given outside the settings file. */
export interface SettingOverride {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  /** Where the value was given; shown in error messages. */
  readonly origin: string;
}

/** Command-line flags of a daemon. */
export interface DaemonFlags {
  readonly settings: string;
  /** Overrides, each as `section.key=value`. */
  readonly set: readonly string[];
  /** Whether to check the settings and exit. */
  readonly isCheck: boolean;
}

/** Reads the flags `--settings FILE`, `--set section.key=value` and `--check`. */
export const parseDaemonFlags = (argv: readonly string[]): DaemonFlags => {
  const readAll = (name: string): string[] =>
    argv.flatMap((argument, index) =>
      argument === name ? [argv[index + 1] ?? ''] : [],
    );
  return {
    settings: readAll('--settings')[0] ?? '',
    set: readAll('--set'),
    isCheck: argv.includes('--check'),
  };
};

/**
 * Collects the overrides of a schema's settings. Environment variables are
 * named `LYCHEETALLY_SECTION_KEY`. Throws `BadSetting` on a malformed flag.
 */
export const collectOverrides = (
  schema: z.ZodType,
  environment: Readonly<Record<string, string | undefined>>,
  flags: readonly string[],
): SettingOverride[] => {
  const fromEnvironment = listSettings(schema).flatMap(
    ({ section, key, variable }) => {
      const value = environment[variable];
      const origin = `environment ${variable}`;
      return value === undefined ? [] : [{ section, key, value, origin }];
    },
  );
  return [...fromEnvironment, ...flags.map(parseFlag)];
};

const parseFlag = (flag: string): SettingOverride => {
  const match = /^([A-Za-z]+)\.([A-Za-z]+)=(.*)$/s.exec(flag);
  if (match?.[1] === undefined || match[2] === undefined) {
    throw new TypedError(
      ErrorKind.BadSetting,
      `--set ${flag} has no section, key and value`,
      'write --set section.key=value',
    );
  }
  return {
    section: match[1],
    key: match[2],
    value: match[3] ?? '',
    origin: '--set',
  };
};

/** Returns a copy of the settings with the overrides applied. */
export const applyOverrides = (
  settings: unknown,
  overrides: readonly SettingOverride[],
): unknown => {
  if (!isRecord(settings)) {
    return settings;
  }
  return overrides.reduce<Record<string, unknown>>(
    (changed, { section, key, value }) => {
      const previous = changed[section];
      const kept = isRecord(previous) ? previous : {};
      return { ...changed, [section]: { ...kept, [key]: value } };
    },
    settings,
  );
};
