/** `lycheetally entry`, `lycheetally agent` and `lycheetally gateway`: run the daemons. */
import type { CAC } from 'cac';
import type { DaemonFlags } from '@lycheetally/common';
import { runGateway } from '@lycheetally/gateway-daemon';
import { runAgent, runEntry } from '@lycheetally/router';
import { Command } from './command.js';

interface DaemonCommandFlags {
  readonly settings?: string;
  readonly set?: string | readonly string[];
  readonly check?: boolean;
}

/** A command that runs a daemon with a settings file. */
abstract class DaemonCommand extends Command {
  protected abstract readonly name: string;
  protected abstract readonly summary: string;

  protected abstract run(flags: DaemonFlags): Promise<void>;

  override register(cli: CAC): void {
    cli
      .command(this.name, this.summary)
      .option('--settings <file>', 'Settings file')
      .option(
        '--set <section.key=value>',
        'Override a setting; may be repeated',
      )
      .option('--check', 'Validate the settings and exit')
      .example(`lycheetally ${this.name} --settings ${this.name}.ini --check`)
      .example(
        `LYCHEETALLY_PROCESS_ID=${this.name}-2 lycheetally ${this.name} --settings ${this.name}.ini --set process.drainSeconds=60`,
      )
      .action((flags: DaemonCommandFlags) => this.run(toDaemonFlags(flags)));
  }
}

const toDaemonFlags = (flags: DaemonCommandFlags): DaemonFlags => ({
  settings: flags.settings ?? '',
  set: typeof flags.set === 'string' ? [flags.set] : (flags.set ?? []),
  isCheck: flags.check === true,
});

export class EntryCommand extends DaemonCommand {
  protected override readonly name = 'entry';
  protected override readonly summary = 'Run an entry';

  protected override run(flags: DaemonFlags): Promise<void> {
    return runEntry(flags);
  }
}

export class AgentCommand extends DaemonCommand {
  protected override readonly name = 'agent';
  protected override readonly summary = 'Run an agent beside a backend server';

  protected override run(flags: DaemonFlags): Promise<void> {
    return runAgent(flags);
  }
}

export class GatewayCommand extends DaemonCommand {
  protected override readonly name = 'gateway';
  protected override readonly summary =
    'Run a gateway in front of engines that pass activations themselves';

  protected override run(flags: DaemonFlags): Promise<void> {
    return runGateway(flags);
  }
}
