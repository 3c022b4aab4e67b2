/** `lycheetally entry` and `lycheetally agent`: run the daemons. */
import type { CAC } from 'cac';
import { runAgent, runEntry } from '@lycheetally/router';
import { Command } from './command.js';

interface DaemonFlags {
  readonly settings?: string;
}

export class EntryCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command('entry', 'Run an entry')
      .option('--settings <file>', 'Settings file')
      .action((flags: DaemonFlags) => runEntry(flags.settings ?? ''));
  }
}

export class AgentCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command('agent', 'Run an agent beside a backend server')
      .option('--settings <file>', 'Settings file')
      .action((flags: DaemonFlags) => runAgent(flags.settings ?? ''));
  }
}
