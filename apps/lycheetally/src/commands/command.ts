/** Base class of the commands of `lycheetally`. */
import type { CAC } from 'cac';
import {
  ErrorKind,
  ExitCode,
  TypedError,
  toTypedError,
} from '@lycheetally/common';

export abstract class Command {
  /** Adds the command to the command line. */
  abstract register(cli: CAC): void;

  /** Runs the command and sets the exit code of the process; reports an error in one line. */
  protected async runAction(run: () => Promise<number>): Promise<void> {
    try {
      process.exitCode = await run();
    } catch (thrown) {
      const remedy = 'run the command again with --help';
      const error = toTypedError(thrown, ErrorKind.Usage, remedy);
      process.stderr.write(`${error.kind}: ${error.message}\n`);
      process.exitCode = isUsageError(thrown)
        ? ExitCode.Usage
        : ExitCode.Failure;
    }
  }
}

/** Kinds of errors that the user can fix by changing a flag or a file. */
const usageKinds: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.Usage,
  ErrorKind.BadSetting,
  ErrorKind.BadAddress,
]);

const isUsageError = (thrown: unknown): boolean =>
  thrown instanceof TypedError && usageKinds.has(thrown.kind);
