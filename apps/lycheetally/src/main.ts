#!/usr/bin/env node
/** Entry point of the command line `lycheetally`. */
import cac from 'cac';
import { ExitCode, toMessage } from '@lycheetally/common';
import { BenchCommand } from './commands/benchCommand.js';
import { ChartsCommand } from './commands/chartsCommand.js';
import type { Command } from './commands/command.js';
import { ConfigCommand } from './commands/configCommand.js';
import {
  AgentCommand,
  GatewayCommand,
  EntryCommand,
} from './commands/daemonCommands.js';
import { DemoCommand } from './commands/demoCommand.js';
import { DrainCommand } from './commands/drainCommand.js';
import { QuestionnaireCommand } from './commands/questionnaireCommand.js';
import { ExplainCommand } from './commands/explainCommand.js';
import { LoadCommand } from './commands/loadCommand.js';
import { SettingsCommand } from './commands/settingsCommand.js';
import { StatusCommand } from './commands/statusCommand.js';
import { TimelineCommand } from './commands/timelineCommand.js';

const commands: readonly Command[] = [
  new EntryCommand(),
  new AgentCommand(),
  new GatewayCommand(),
  new SettingsCommand(),
  new ChartsCommand(),
  new QuestionnaireCommand(),
  new ConfigCommand(),
  new StatusCommand(),
  new TimelineCommand(),
  new ExplainCommand(),
  new DrainCommand(),
  new DemoCommand(),
  new LoadCommand(),
  new BenchCommand(),
];

const reportUsage = (fault: string): void => {
  process.stderr.write(`usage: ${fault}; see lycheetally --help\n`);
  process.exitCode = ExitCode.Usage;
};

const runParsed = async (): Promise<void> => {
  if (cli.options.help === true) {
    return;
  }
  if (cli.matchedCommand) {
    await cli.runMatchedCommand();
    return;
  }
  if (cli.args.length > 0) {
    reportUsage(`command "${cli.args.join(' ')}" does not exist`);
    return;
  }
  cli.outputHelp();
};

const cli = cac('lycheetally');
commands.forEach(command => {
  command.register(cli);
});
cli.help();
try {
  cli.parse(process.argv, { run: false });
  await runParsed();
} catch (thrown) {
  reportUsage(toMessage(thrown));
}
