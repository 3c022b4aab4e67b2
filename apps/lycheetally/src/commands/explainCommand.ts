/** `lycheetally explain REQUEST`: explains how a request was routed and why it ended as it did. */
import type { CAC } from 'cac';
import { ExitCode } from '@lycheetally/common';
import {
  collectTimeline,
  explainRequest,
  listSilent,
} from '@lycheetally/router';
import { parseNodes } from '../reading/nodes.js';
import { Command } from './command.js';

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
        this.finish(() => runExplain(request, flags)),
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
  const isWhole =
    timeline.events.length > 0 && listSilent(timeline).length === 0;
  return isWhole ? ExitCode.Ok : ExitCode.Failure;
};
