/** `lycheetally config ACTION`: checks, compares and publishes configurations. */
import type { CAC } from 'cac';
import { ErrorKind, TypedError } from '@lycheetally/common';
import { Command } from './command.js';
import {
  CheckAction,
  DiffAction,
  HistoryAction,
  PublishAction,
  RollbackAction,
  type ConfigAction,
  type ConfigFlags,
} from './configActions.js';

const actions: readonly ConfigAction[] = [
  new CheckAction(),
  new DiffAction(),
  new PublishAction(),
  new HistoryAction(),
  new RollbackAction(),
];

export class ConfigCommand extends Command {
  override register(cli: CAC): void {
    const command = cli
      .command('config <action> [argument]', describeActions())
      .option('--log <url>', "Address of the platform's log")
      .option('--base <version>', 'Version that the change must build on')
      .option('--author <name>', 'Name that the history shows')
      .option(
        '--against <file>',
        "check: compare a gateway's configuration with this one",
      )
      .option(
        '--memory-mb <mebibytes>',
        'check: memory of the smallest VM that runs a gateway',
      )
      .option('--json', "check: print the result for a gateway's as JSON");
    for (const action of actions) {
      command.example(`lycheetally config ${action.usage}`);
    }
    command.action(
      (name: string, argument: string | undefined, flags: ConfigFlags) =>
        this.runAction(() => findAction(name).run(argument ?? '', flags)),
    );
  }
}

const describeActions = (): string =>
  `Work on the configuration: ${actions.map(action => action.name).join(', ')}`;

const findAction = (name: string): ConfigAction => {
  const found = actions.find(action => action.name === name);
  if (!found) {
    throw new TypedError(
      ErrorKind.Usage,
      `config action "${name}" does not exist`,
      `name one of: ${actions.map(action => action.name).join(', ')}`,
    );
  }
  return found;
};
