/** `lycheetally explain REQUEST`: explains how a request was routed and why it ended as it did. */
import type { CAC } from 'cac';
import { ExitCode } from '@lycheetally/common';
import {
  collectTimeline,
  explainRequest,
  listUnresponsive,
} from '@lycheetally/router';
import { Command } from './command.js';
import { parseNodes } from './nodeFlags.js';

interface ExplainFlags {
  readonly nodes?: string;
  readonly json?: boolean;
}

export class ExplainCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command(
        'explain <request>',
        "Explain a request, by the router's or the caller's id",
      )
      .option('--nodes <addresses>', "Operators' ports, as host:port,host:port")
      .option('--json', 'Print the lines and the events as JSON')
      .example('lycheetally explain my-id --nodes 10.0.0.5:9090,10.0.2.17:9090')
      .action((request: string, flags: ExplainFlags) =>
        this.runAction(() => runExplain(request, flags)),
      );
  }
}

const runExplain = async (
  request: string,
  flags: ExplainFlags,
): Promise<number> => {
  const timeline = await collectTimeline(parseNodes(flags.nodes), { request });
  const lines = explainRequest(timeline, request);
  process.stdout.write(
    flags.json === true
      ? `${JSON.stringify({ request, lines, ...timeline })}\n`
      : `${lines.join('\n')}\n`,
  );
  const isComplete =
    timeline.events.length > 0 && listUnresponsive(timeline).length === 0;
  return isComplete ? ExitCode.Ok : ExitCode.Failure;
};
