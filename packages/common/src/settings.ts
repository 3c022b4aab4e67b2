/**
 * Settings files: INI, checked by a schema.
 *
 * A check reports every fault at once, each with the file, the section, the
 * key and the remedy.
 */
import { readFileSync } from 'node:fs';
import ini from 'ini';
import { z } from 'zod';
import { ErrorKind, TypedError } from './errors.js';
import { Err, Ok, type Result } from './result.js';
import { toMessage } from './typeChecks.js';

/** Reads and checks a settings file. Fails with `BadSetting`. */
export const readSettings = <T extends z.ZodType>(
  path: string,
  schema: T,
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
  return parseSettings(path, text, schema);
};

/** Checks the text of a settings file. Fails with `BadSetting`. */
export const parseSettings = <T extends z.ZodType>(
  path: string,
  text: string,
  schema: T,
): Result<z.output<T>> => {
  const parsed = schema.safeParse(parseIni(text));
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const faults = parsed.error.issues.map(issue => formatIssue(path, issue));
  return Err(
    new TypedError(
      ErrorKind.BadSetting,
      faults.join(' | '),
      'correct these settings and start again',
    ),
  );
};

/** Parses INI into plain objects; sections with dots are nested. */
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

// The parser returns objects without a prototype, which zod refuses in records.
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

/** A host and port written `host:port`. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

const maxPort = 65_535;

/** Schema of an address written `host:port`; port 0 asks for any free port. */
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

/** Formats an address as `host:port`. */
export const formatAddress = (address: Address): string =>
  address.host.includes(':')
    ? `[${address.host}]:${String(address.port)}`
    : `${address.host}:${String(address.port)}`;

/** Returns the path after `--settings`; empty when there is none. */
export const readSettingsPath = (argv: readonly string[]): string => {
  const index = argv.indexOf('--settings');
  return index < 0 ? '' : (argv[index + 1] ?? '');
};
