/**
 * Parses and formats the configuration as an INI file for version control.
 *
 * Validation reports all faults at once, each with its section, its key and a
 * remedy. The file holds no version number: a configuration gets its version
 * when the log accepts it.
 */
import { Err, Ok, formatIni, parseIni, type Result } from '@lycheetally/common';
import {
  ServiceKind,
  checkConfiguration,
  type ConfigFault,
  type RouterConfiguration,
} from '@lycheetally/decisions';
import { z } from 'zod';

/** Value of a service's `accounts` that allows every client account. */
const allAccounts = '*';

const namePattern = /^[A-Za-z0-9_-]{1,64}$/;

// Each message holds the fault and the remedy, separated by "; "; `toFaults` splits them.
const createNumberSchema = (min: number, max: number): z.ZodType<number> =>
  z.coerce
    .number({ error: 'is not a number; write digits' })
    .min(min, `is too small; write at least ${String(min)}`)
    .max(max, `is too large; write at most ${String(max)}`);

const createIntegerSchema = (min: number, max: number): z.ZodType<number> =>
  createNumberSchema(min, max).refine(Number.isInteger, {
    error: 'is not an integer; write it without a decimal point',
  });

const booleanSchema = z.boolean({
  error: 'is not a boolean; write true or false',
});

const nameListSchema = z
  .union([z.array(z.string()), z.string()], {
    error: 'is missing; write names separated by commas, or * for all',
  })
  .transform(value =>
    (typeof value === 'string' ? value.split(',') : value)
      .map(name => name.trim())
      .filter(name => name !== ''),
  );

const rankSectionSchema = z.strictObject({
  urgency: createIntegerSchema(0, 1_000),
  floor: createNumberSchema(0, 1),
  targetMs: createNumberSchema(1, 7 * 24 * 60 * 60 * 1_000),
});

const accountSectionSchema = z.strictObject({
  keyHash: z
    .string({ error: 'is missing; run "lycheetally questionnaire" to make it' })
    .regex(
      /^[^:]+:[0-9a-f]{64}$/,
      'is not a salted hash; run "lycheetally questionnaire" to make it',
    ),
  weight: createNumberSchema(0.001, 1_000_000).default(1),
});

const serviceSectionSchema = z.strictObject({
  kind: z.enum(ServiceKind, { error: 'is unknown; write model or plain' }),
  layers: createIntegerSchema(0, 100_000).default(0),
  idempotent: booleanSchema,
  accounts: nameListSchema,
  checksFencing: booleanSchema.default(false),
  workers: createIntegerSchema(0, 1_000_000).default(0),
});

const failureDomainSectionSchema = z.strictObject({
  region: z
    .string({ error: 'is missing; name the region' })
    .regex(namePattern, 'is not a valid name; use letters, digits, "_" or "-"'),
});

const createSectionsSchema = <T extends z.ZodType>(
  section: T,
): z.ZodType<Record<string, z.output<T>>> =>
  z.record(
    z.string().regex(namePattern, {
      error: 'is not a valid name; use 1 to 64 letters, digits, "_" or "-"',
    }),
    section,
  );

const fileSchema = z.strictObject({
  rank: createSectionsSchema(rankSectionSchema).default({}),
  account: createSectionsSchema(accountSectionSchema).default({}),
  service: createSectionsSchema(serviceSectionSchema).default({}),
  failureDomain: createSectionsSchema(failureDomainSectionSchema).default({}),
});

type FileSections = z.output<typeof fileSchema>;

/** Parses and validates a configuration file; on failure returns all faults. */
export const parseConfigFile = (
  text: string,
): Result<RouterConfiguration, readonly ConfigFault[]> => {
  const repeated = findRepeatedSections(text);
  const parsed = fileSchema.safeParse(parseIni(text));
  if (!parsed.success) {
    const faults = parsed.error.issues.flatMap(toFaults);
    return Err([...repeated, ...faults]);
  }
  const configuration = toConfiguration(parsed.data);
  const faults = [...repeated, ...checkConfiguration(configuration)];
  return faults.length > 0 ? Err(faults) : Ok(configuration);
};

/** Formats a configuration as an INI file. */
export const formatConfigFile = (configuration: RouterConfiguration): string =>
  formatIni({
    rank: toSections(configuration.ranks),
    failureDomain: toSections(configuration.failureDomains ?? []),
    service: toSections(
      configuration.services.map(service => ({
        ...service,
        accounts: service.accounts.join(','),
      })),
    ),
    account: toSections(configuration.accounts),
  });

/** Formats a fault as one line with file, section, key, fault and remedy. */
export const formatFault = (file: string, fault: ConfigFault): string =>
  `${file}: [${fault.section}] ${fault.key}: ${fault.fault}; ${fault.remedy}`;

const toConfiguration = (file: FileSections): RouterConfiguration => {
  const accounts = toNamedItems(file.account);
  const accountNames = accounts.map(account => account.name);
  return {
    version: 1,
    ranks: toNamedItems(file.rank),
    accounts,
    services: toNamedItems(file.service).map(service => ({
      ...service,
      accounts: service.accounts.includes(allAccounts)
        ? accountNames
        : service.accounts,
    })),
    failureDomains: toNamedItems(file.failureDomain),
  };
};

const toNamedItems = <T extends object>(
  sections: Readonly<Record<string, T>>,
): (T & { readonly name: string })[] =>
  Object.entries(sections).map(([name, section]) => ({ name, ...section }));

const toSections = (
  items: readonly { readonly name: string }[],
): Record<string, object> =>
  Object.fromEntries(items.map(({ name, ...section }) => [name, section]));

const toFaults = (issue: z.core.$ZodIssue): ConfigFault[] => {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({
      section: path.join('.') || '(file)',
      key,
      fault: 'is not a known key',
      remedy: 'remove it or correct its spelling',
    }));
  }
  const nested = issue.code === 'invalid_key' ? issue.issues[0] : undefined;
  const [fault, remedy] = (nested ?? issue).message.split('; ');
  return [
    {
      section: path.slice(0, 2).join('.') || '(file)',
      key: path.slice(2).join('.') || '(section)',
      fault: fault ?? '',
      remedy:
        remedy ??
        'compare it with a file that "lycheetally questionnaire" wrote',
    },
  ];
};

// Repeated headers are searched in the text because `parseIni` silently merges such sections.
const findRepeatedSections = (text: string): ConfigFault[] => {
  const headers = text
    .split('\n')
    .flatMap(line => /^\s*\[([^\]]+)\]/.exec(line)?.[1] ?? []);
  const repeated = headers.filter(
    (name, index) => headers.indexOf(name) !== index,
  );
  return [...new Set(repeated)].map(section => ({
    section,
    key: '(section)',
    fault: 'the section is defined twice',
    remedy: 'merge the two sections into one',
  }));
};
