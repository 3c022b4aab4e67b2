/**
 * Reads INI settings files and validates them against a schema.
 *
 * Validation reports all errors at once, each with the file, the section, the
 * key and what to write instead.
 */
import { readFileSync } from 'node:fs';
import ini from 'ini';
import { z } from 'zod';
import { ErrorKind, TypedError } from './errors.js';
import { Err, Ok, type Result } from './result.js';
import { applyOverrides, type SettingOverride } from './settingOverrides.js';
import { toMessage } from './typeChecks.js';

/** Reads and validates a settings file. Fails with `BadSetting`. */
export const readSettings = <T extends z.ZodType>(
  path: string,
  schema: T,
  overrides: readonly SettingOverride[] = [],
): Result<z.output<T>> => {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (thrown) {
    return Err(
      new TypedError(
        ErrorKind.BadSetting,
        `settings file ${path} cannot be read (${toMessage(thrown)})`,
        'name an existing file with --settings',
      ),
    );
  }
  return parseSettings(path, text, schema, overrides);
};

/** Parses and validates the text of a settings file. Fails with `BadSetting`. */
export const parseSettings = <T extends z.ZodType>(
  path: string,
  text: string,
  schema: T,
  overrides: readonly SettingOverride[] = [],
): Result<z.output<T>> => {
  const settings = applyOverrides(parseIni(text), overrides);
  const parsed = schema.safeParse(settings);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const messages = parsed.error.issues.map(issue =>
    formatIssue(findOrigin(issue, overrides) ?? path, issue),
  );
  return Err(
    new TypedError(
      ErrorKind.BadSetting,
      messages.join(' | '),
      'correct these settings and start again',
    ),
  );
};

const findOrigin = (
  issue: z.core.$ZodIssue,
  overrides: readonly SettingOverride[],
): string | undefined => {
  const [section, key] = issue.path;
  return overrides.findLast(
    override => override.section === section && override.key === key,
  )?.origin;
};

/** Parses INI into plain objects; dotted section names become nested objects. */
export const parseIni = (text: string): unknown =>
  toPlainObject(ini.parse(text));

/** Formats nested sections as INI. */
export const formatIni = (
  sections: Readonly<Record<string, unknown>>,
): string => ini.stringify(sections);

const formatIssue = (path: string, issue: z.core.$ZodIssue): string => {
  const key = issue.path.map(String).join('.');
  return `${path}: ${key === '' ? '(file)' : key}: ${issue.message}`;
};

// The parser returns objects without a prototype, which zod rejects in records.
const toPlainObject = (value: unknown): unknown => {
  if (Array.isArray(value)) {
    return value.map(toPlainObject);
  }
  if (typeof value !== 'object' || value === null) {
    return value;
  }
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [key, toPlainObject(item)]),
  );
};

/** A host and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

const maxPort = 65_535;

/** Schema of an address written `host:port`; port 0 selects any free port. */
export const addressSchema = z.string().transform((text, context): Address => {
  const match = /^([^\s:]+|\[[^\]]+\]):(\d{1,5})$/.exec(text);
  const port = Number(match?.[2]);
  if (!match?.[1] || port > maxPort) {
    context.addIssue({
      code: 'custom',
      message: `"${text}" is not an address; write host:port with a port from 0 to ${String(maxPort)}`,
    });
    return z.NEVER;
  }
  return { host: match[1].replace(/^\[|\]$/g, ''), port };
});

/** Formats an address as `host:port`, with brackets around an IPv6 host. */
export const formatAddress = (address: Address): string =>
  address.host.includes(':')
    ? `[${address.host}]:${String(address.port)}`
    : `${address.host}:${String(address.port)}`;
