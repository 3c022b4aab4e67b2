/** Actions of `lycheetally config`. */
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import {
  ErrorKind,
  ExitCode,
  TypedError,
  getOrThrow,
} from '@lycheetally/common';
import {
  ConfigVerdict,
  emptyConfiguration,
  type ConfigDecision,
  type RouterConfiguration,
} from '@lycheetally/decisions';
import {
  ConfigPublisher,
  HttpLog,
  SystemClock,
  formatFault,
  parseConfigFile,
  type PublicationResult,
} from '@lycheetally/router';
import { describeConfiguration } from '../questionnaire/answers.js';
import { formatDifference } from './configDifference.js';
import {
  checkGatewayFile,
  isGatewayConfiguration,
  type NamedText,
} from './gatewayConfigCheck.js';

export interface ConfigFlags {
  readonly log?: string;
  readonly base?: number;
  readonly author?: string;
  readonly against?: string;
  /** A number, or the text that is none. */
  readonly memoryMb?: number | string | boolean;
  readonly json?: boolean;
}

export abstract class ConfigAction {
  abstract readonly name: string;
  /** Example arguments, without `lycheetally config`. */
  abstract readonly usage: string;

  /** Runs the action and returns the exit code. Throws a `TypedError` on failure. */
  abstract run(argument: string, flags: ConfigFlags): Promise<number>;

  protected print(line: string): void {
    process.stdout.write(`${line}\n`);
  }

  /** Reads a configuration file; throws an error that lists all faults, one per line. */
  protected readFile(path: string): RouterConfiguration {
    return this.parseFile({ path, text: readText(path, this.usage) });
  }

  protected parseFile({ path, text }: NamedText): RouterConfiguration {
    const parsed = parseConfigFile(text);
    if (parsed.err) {
      const faults = parsed.val.map(fault => formatFault(path, fault));
      throw new TypedError(
        ErrorKind.BadSetting,
        `${String(faults.length)} faults\n${faults.join('\n')}\n`,
        'correct them and run the command again',
      );
    }
    return parsed.val;
  }

  protected createPublisher(flags: ConfigFlags): ConfigPublisher {
    if (flags.log === undefined || !/^https?:\/\/[^/]+$/.test(flags.log)) {
      throw new TypedError(
        ErrorKind.Usage,
        'the address of the log is missing or not of the form http://host:port',
        `run for example: lycheetally config ${this.usage}`,
      );
    }
    const author = flags.author ?? userInfo().username;
    return new ConfigPublisher(
      new HttpLog(flags.log),
      new SystemClock(),
      author,
    );
  }

  protected printPublished({ state, isNew }: PublicationResult): void {
    const { version } = state.configuration;
    this.print(
      isNew
        ? `Version ${String(version)} is accepted.`
        : `Nothing to change: version ${String(version)} has the same content.`,
    );
  }
}

export class CheckAction extends ConfigAction {
  readonly name = 'check';
  readonly usage = 'check config.ini';

  override run(path: string, flags: ConfigFlags): Promise<number> {
    const file = { path, text: readText(path, this.usage) };
    if (isGatewayConfiguration(file)) {
      return Promise.resolve(this.checkForGateways(file, flags));
    }
    assertNoGatewayFlags(flags);
    const configuration = this.parseFile(file);
    this.print(`${path} is valid: ${describeConfiguration(configuration)}.`);
    return Promise.resolve(ExitCode.Ok);
  }

  private checkForGateways(file: NamedText, flags: ConfigFlags): number {
    const { against: path, json } = flags;
    const { exitCode, lines } = checkGatewayFile(file, {
      memoryMb: parseMemory(flags.memoryMb),
      against:
        path === undefined
          ? undefined
          : { path, text: readText(path, this.usage) },
      isJson: json === true,
    });
    lines.forEach(line => {
      this.print(line);
    });
    return exitCode;
  }
}

export class DiffAction extends ConfigAction {
  readonly name = 'diff';
  readonly usage = 'diff config.ini --log http://10.0.1.1:7000';

  override async run(path: string, flags: ConfigFlags): Promise<number> {
    const wanted = this.readFile(path);
    const { state } = getOrThrow(await this.createPublisher(flags).read());
    const current = state?.configuration ?? emptyConfiguration;
    const lines = formatDifference(current, wanted);
    lines.forEach(line => {
      this.print(line);
    });
    this.print(
      `${String(lines.length)} differences from version ${String(current.version)}.`,
    );
    return ExitCode.Ok;
  }
}

export class PublishAction extends ConfigAction {
  readonly name = 'publish';
  readonly usage = 'publish config.ini --log http://10.0.1.1:7000';

  override async run(path: string, flags: ConfigFlags): Promise<number> {
    const wanted = this.readFile(path);
    const { base } = flags;
    if (base !== undefined && !Number.isInteger(base)) {
      throw new TypedError(
        ErrorKind.Usage,
        `"${String(base)}" is not a version number`,
        'pass a version that "config history" lists to --base',
      );
    }
    const publisher = this.createPublisher(flags);
    this.printPublished(getOrThrow(await publisher.publish(wanted, base)));
    return ExitCode.Ok;
  }
}

export class HistoryAction extends ConfigAction {
  readonly name = 'history';
  readonly usage = 'history --log http://10.0.1.1:7000';

  override async run(_: string, flags: ConfigFlags): Promise<number> {
    const publisher = this.createPublisher(flags);
    const { decisions, state } = getOrThrow(await publisher.read());
    decisions
      .filter(({ verdict }) => verdict !== ConfigVerdict.Snapshot)
      .forEach(decision => {
        this.print(formatDecision(decision));
      });
    const version = state?.configuration.version ?? 0;
    this.print(`Version ${String(version)} is in force.`);
    return ExitCode.Ok;
  }
}

export class RollbackAction extends ConfigAction {
  readonly name = 'rollback';
  readonly usage = 'rollback 3 --log http://10.0.1.1:7000';

  override async run(version: string, flags: ConfigFlags): Promise<number> {
    if (!/^\d+$/.test(version)) {
      throw new TypedError(
        ErrorKind.Usage,
        `"${version}" is not a version number`,
        `run for example: lycheetally config ${this.usage}`,
      );
    }
    const publisher = this.createPublisher(flags);
    const published = await publisher.publishEarlierVersion(Number(version));
    this.printPublished(getOrThrow(published));
    return ExitCode.Ok;
  }
}

const assertNoGatewayFlags = ({
  against,
  memoryMb,
  json,
}: ConfigFlags): void => {
  if (against !== undefined || memoryMb !== undefined || json === true) {
    throw new TypedError(
      ErrorKind.Usage,
      "--against, --memory-mb and --json are for a gateway's configuration in JSON",
      'name a JSON file, or leave them out; "config diff" compares INI files',
    );
  }
};

const parseMemory = (flag: ConfigFlags['memoryMb']): number | undefined => {
  if (flag === undefined) {
    return undefined;
  }
  if (typeof flag !== 'number' || !(flag > 0)) {
    throw new TypedError(
      ErrorKind.Usage,
      `"${String(flag)}" is not an amount of memory`,
      'pass the MiB of the smallest VM to --memory-mb, such as 256',
    );
  }
  return flag;
};

const formatDecision = (decision: ConfigDecision): string => {
  const { offset, verdict, reason, change, state } = decision;
  const version = state?.configuration.version ?? 0;
  const at = change ? new Date(change.publishedAt).toISOString() : '-';
  const result =
    verdict === ConfigVerdict.Accepted
      ? `version ${String(version)}`
      : `${verdict} (${reason})`;
  return `${String(offset)}  ${at}  ${change?.author ?? '-'}  ${result}`;
};

const readText = (path: string, usage: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    throw new TypedError(
      ErrorKind.BadSetting,
      `configuration file "${path}" cannot be read`,
      `name an existing file, for example: lycheetally config ${usage}`,
    );
  }
};
