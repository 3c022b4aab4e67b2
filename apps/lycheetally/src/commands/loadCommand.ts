/** `lycheetally load FILE`: runs a load experiment and accounts for every request. */
import type { CAC } from 'cac';
import { ExitCode } from '@lycheetally/common';
import { Command } from './command.js';

interface LoadFlags {
  readonly out?: string;
  readonly json?: boolean;
  readonly check?: boolean;
}

export class LoadCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command('load <experiment>', 'Run the load experiment in a file')
      .option('--out <folder>', 'Write report.json, report.md and plots there')
      .option('--json', 'Print the report as one line of JSON')
      .option('--check', 'Validate the file and exit')
      .example(
        'lycheetally load experiments/cedarline-busy-depot.ini --out report',
      )
      .action((file: string, flags: LoadFlags) =>
        this.runAction(() => runExperiment(file, flags)),
      );
  }
}

const runExperiment = async (
  file: string,
  flags: LoadFlags,
): Promise<number> => {
  const {
    checkExperiment,
    formatReport,
    readExperiment,
    runLoad,
    writeReport,
  } = await import('@lycheetally/bench');
  const read = readExperiment(file);
  if (read.err) {
    throw read.val;
  }
  checkExperiment(read.val);
  if (flags.check === true) {
    process.stdout.write(`${file} is valid\n`);
    return ExitCode.Ok;
  }
  const report = await runLoad(read.val, line => {
    process.stderr.write(`${line}\n`);
  });
  if (flags.out !== undefined) {
    const files = await writeReport(report, flags.out);
    process.stderr.write(`written: ${files.join(', ')}\n`);
  }
  process.stdout.write(
    flags.json === true ? `${JSON.stringify(report)}\n` : formatReport(report),
  );
  const isConsistent = report.isAccounted && report.ledger?.isExact !== false;
  return isConsistent ? ExitCode.Ok : ExitCode.Failure;
};
