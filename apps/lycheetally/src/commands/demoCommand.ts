/** `lycheetally demo`: runs a small system and sends requests through it. */
import type { CAC } from 'cac';
import { ExitCode } from '@lycheetally/common';
import { Command } from './command.js';

export class DemoCommand extends Command {
  override register(cli: CAC): void {
    cli.command('demo', 'Start a small system, use it and stop it').action(() =>
      this.runAction(async () => {
        const { runDemo } = await import('@lycheetally/bench');
        const isSuccessful = await runDemo(line => {
          process.stdout.write(`${line}\n`);
        });
        return isSuccessful ? ExitCode.Ok : ExitCode.Failure;
      }),
    );
  }
}
