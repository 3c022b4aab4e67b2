/** The answers of the questionnaire, and the configuration that is built from them. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  parseIni,
  type Result,
} from '@lycheetally/common';
import type { RouterConfiguration } from '@lycheetally/decisions';
import {
  formatConfigFile,
  formatFault,
  hashKey,
  parseConfigFile,
} from '@lycheetally/router';
import { z } from 'zod';

const namesSchema = z
  .union([z.string(), z.array(z.string())])
  .transform(value =>
    (typeof value === 'string' ? value.split(',') : value)
      .map(name => name.trim())
      .filter(name => name !== ''),
  );

const answersSchema = z.strictObject({
  organisation: z.strictObject({
    name: z.string().min(1),
    region: z.string().min(1),
    failureDomains: namesSchema,
  }),
  accounts: z.strictObject({ names: namesSchema }),
  rank: z.record(z.string(), z.looseObject({})),
  service: z.record(z.string(), z.looseObject({})),
});

/** The answers of one organisation. */
export type Answers = z.output<typeof answersSchema>;

/** Generates the bearer keys and salts of client accounts. */
export abstract class KeyGenerator {
  abstract createKey(account: string): string;
  abstract createSalt(account: string): string;
}

/** A configuration file, which holds only hashes of keys, and the bearer keys themselves. */
export interface GeneratedFiles {
  readonly configuration: string;
  /** The bearer key of each client account; never published. */
  readonly keys: Readonly<Record<string, string>>;
}

/** Parses an answers file. Fails with `BadSetting`. */
export const parseAnswers = (path: string, text: string): Result<Answers> => {
  const parsed = answersSchema.safeParse(parseIni(text));
  if (parsed.success) {
    return Ok(parsed.data);
  }
  const faults = parsed.error.issues.map(
    issue => `${path}: ${issue.path.map(String).join('.')}: ${issue.message}`,
  );
  return Err(
    new TypedError(
      ErrorKind.BadSetting,
      faults.join(' | '),
      'correct the answers; examples/ has two complete answers files',
    ),
  );
};

/** Builds the configuration and the keys from the answers. Fails with `BadSetting`. */
export const buildFiles = (
  path: string,
  answers: Answers,
  generator: KeyGenerator,
): Result<GeneratedFiles> => {
  const keys = Object.fromEntries(
    answers.accounts.names.map(name => [name, generator.createKey(name)]),
  );
  const accounts = Object.entries(keys).map(([name, key]) => [
    name,
    { keyHash: hashKey(generator.createSalt(name), key), weight: 1 },
  ]);
  const { region, failureDomains } = answers.organisation;
  const sections = {
    rank: answers.rank,
    failureDomain: Object.fromEntries(
      failureDomains.map(name => [name, { region }]),
    ),
    service: answers.service,
    account: Object.fromEntries(accounts) as Record<string, object>,
  };
  return toConfigurationText(path, answers.organisation.name, sections).map(
    configuration => ({ configuration, keys }),
  );
};

const toConfigurationText = (
  path: string,
  organisation: string,
  sections: Readonly<Record<string, unknown>>,
): Result<string> => {
  const checked = parseConfigSections(sections);
  if (checked.err) {
    const faults = checked.val.map(fault => formatFault(path, fault));
    const remedy = 'correct the answers and run the questionnaire again';
    return Err(new TypedError(ErrorKind.BadSetting, faults.join('\n'), remedy));
  }
  const header = `; Configuration of ${organisation}, from its questionnaire.\n\n`;
  return Ok(`${header}${formatConfigFile(checked.val)}`);
};

const parseConfigSections = (
  sections: Readonly<Record<string, unknown>>,
): ReturnType<typeof parseConfigFile> =>
  parseConfigFile(formatSections(sections));

/** Formats named sections as INI; values are not escaped. */
const formatSections = (sections: Readonly<Record<string, unknown>>): string =>
  Object.entries(sections)
    .flatMap(([kind, named]) =>
      Object.entries(named as Record<string, object>).map(
        ([name, section]) =>
          `[${kind}.${name}]\n${Object.entries(section)
            .map(([key, value]) => `${key}=${String(value)}`)
            .join('\n')}\n`,
      ),
    )
    .join('\n');

/** Summarizes a configuration in one line. */
export const describeConfiguration = (
  configuration: RouterConfiguration,
): string =>
  `${String(configuration.ranks.length)} ranks, ${String(configuration.services.length)} services, ${String(configuration.accounts.length)} client accounts, ${String(configuration.failureDomains?.length ?? 0)} failure domains`;
