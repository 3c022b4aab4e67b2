/** `lycheetally questionnaire`: writes a configuration file from answers. */
import { randomBytes } from 'node:crypto';
import { readFileSync, writeFileSync } from 'node:fs';
import type { CAC } from 'cac';
import {
  ErrorKind,
  ExitCode,
  TypedError,
  formatIni,
  getOrThrow,
} from '@lycheetally/common';
import {
  KeyGenerator,
  buildFiles,
  parseAnswers,
  type Answers,
} from '../questionnaire/answers.js';
import { requestAnswers } from '../questionnaire/askAnswers.js';
import { Command } from './command.js';

interface QuestionnaireFlags {
  readonly answers?: string;
  readonly out: string;
  readonly keys: string;
  readonly force?: boolean;
}

const keyBytes = 24;
const saltBytes = 12;

/** Generates keys and salts with the system's random number generator. */
class RandomKeyGenerator extends KeyGenerator {
  override createKey(): string {
    return randomBytes(keyBytes).toString('base64url');
  }

  override createSalt(): string {
    return randomBytes(saltBytes).toString('hex');
  }
}

export class QuestionnaireCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command('questionnaire', 'Write a configuration file from answers')
      .option('--answers <file>', 'Read the answers from a file')
      .option('--out <file>', 'Output file for the configuration', {
        default: 'config.ini',
      })
      .option(
        '--keys <file>',
        'Output file for the keys of the client accounts',
        {
          default: 'keys.ini',
        },
      )
      .option('--force', 'Overwrite the files')
      .example(
        'lycheetally questionnaire --answers examples/cedarline/answers.ini',
      )
      .action((flags: QuestionnaireFlags) =>
        this.runAction(() => runQuestionnaire(flags)),
      );
  }
}

const runQuestionnaire = async (flags: QuestionnaireFlags): Promise<number> => {
  const { answers: path } = flags;
  const answers =
    path === undefined ? await requestAnswers() : readAnswers(path);
  const generator = new RandomKeyGenerator();
  const files = getOrThrow(buildFiles(path ?? 'answers', answers, generator));
  writePrivateFile(flags.out, files.configuration, flags.force === true);
  writePrivateFile(
    flags.keys,
    formatIni({ keys: files.keys }),
    flags.force === true,
  );
  process.stdout.write(
    `Wrote ${flags.out}; keep it in version control.\n` +
      `Wrote ${flags.keys}; give each key to its client account and keep the file secret.\n`,
  );
  return ExitCode.Ok;
};

const readAnswers = (path: string): Answers => {
  try {
    return getOrThrow(parseAnswers(path, readFileSync(path, 'utf8')));
  } catch (thrown) {
    if (thrown instanceof TypedError) {
      throw thrown;
    }
    throw new TypedError(
      ErrorKind.BadSetting,
      `answers file ${path} cannot be read`,
      'name an existing file with --answers',
    );
  }
};

const ownerOnlyMode = 0o600;

const writePrivateFile = (
  path: string,
  text: string,
  isForced: boolean,
): void => {
  try {
    const flag = isForced ? 'w' : 'wx';
    writeFileSync(path, text, { flag, mode: ownerOnlyMode });
  } catch {
    throw new TypedError(
      ErrorKind.BadSetting,
      `file ${path} exists already or cannot be written`,
      'choose another file, or pass --force to overwrite it',
    );
  }
};
