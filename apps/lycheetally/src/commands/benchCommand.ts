/** `lycheetally bench NAME`: runs a benchmark and prints its result. */
import type { CAC } from 'cac';
import { ErrorKind, ExitCode, TypedError } from '@lycheetally/common';
import { Command } from './command.js';

interface BenchFlags {
  readonly seed: number;
  readonly json?: boolean;
}

export class BenchCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command('bench [name]', 'Run a benchmark, or list all of them')
      .option('--seed <number>', 'Random seed of the run', { default: 1 })
      .option('--json', 'Print one line of JSON last')
      .example('lycheetally bench relay --json')
      .action((name: string | undefined, flags: BenchFlags) =>
        this.runAction(() => runBench(name, flags)),
      );
  }
}

const runBench = async (
  name: string | undefined,
  flags: BenchFlags,
): Promise<number> => {
  const { benches, findBench } = await import('@lycheetally/bench');
  if (name === undefined) {
    benches.forEach(bench => {
      process.stdout.write(`${bench.name}: ${bench.summary}\n`);
    });
    return ExitCode.Ok;
  }
  const bench = findBench(name);
  if (!bench) {
    throw new TypedError(
      ErrorKind.Usage,
      `benchmark "${name}" does not exist`,
      `name one of: ${benches.map(each => each.name).join(', ')}`,
    );
  }
  const result = await bench.run({
    seed: flags.seed,
    report: line => {
      process.stderr.write(`${line}\n`);
    },
  });
  process.stdout.write(
    flags.json === true
      ? `${JSON.stringify(result)}\n`
      : `${result.name}: ours ${String(result.ours)} ${result.unit}, baseline ${String(result.baseline)}, ratio ${String(result.ratio)}\n`,
  );
  return ExitCode.Ok;
};
