/** `lycheetally status`: shows the state of each process. */
import type { CAC } from 'cac';
import { ExitCode } from '@lycheetally/common';
import { readOperatorsPage, toPrintable } from '@lycheetally/router';
import { z } from 'zod';
import { Command } from './command.js';
import { parseNodes } from './nodeFlags.js';

interface StatusFlags {
  readonly nodes?: string;
  readonly json?: boolean;
}

const statusSchema = z.looseObject({
  process: z.string(),
  role: z.string(),
  ready: z.boolean(),
  leaving: z.boolean(),
});

/** The status of one process, or the reason why there is none. */
type NodeStatus =
  | { readonly address: string; readonly status: z.output<typeof statusSchema> }
  | { readonly address: string; readonly fault: string };

export class StatusCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command('status', 'Show the state of each process')
      .option('--nodes <addresses>', "Operators' ports, as host:port,host:port")
      .option('--json', 'Print one line of JSON')
      .example('lycheetally status --nodes 10.0.0.5:9090,10.0.2.17:9090')
      .action((flags: StatusFlags) => this.runAction(() => runStatus(flags)));
  }
}

const runStatus = async (flags: StatusFlags): Promise<number> => {
  const nodes = await Promise.all(parseNodes(flags.nodes).map(readStatus));
  process.stdout.write(
    flags.json === true
      ? `${JSON.stringify({ nodes })}\n`
      : nodes.map(node => `${formatStatus(node)}\n`).join(''),
  );
  const areAllReady = nodes.every(
    node => 'status' in node && node.status.ready,
  );
  return areAllReady ? ExitCode.Ok : ExitCode.Failure;
};

const readStatus = async (address: string): Promise<NodeStatus> => {
  const path = '/v1/admin/status';
  const read = await readOperatorsPage(address, path, statusSchema);
  return read.ok
    ? { address, status: read.val }
    : { address, fault: read.val.message };
};

const formatStatus = (node: NodeStatus): string => {
  if ('fault' in node) {
    return `${node.address} DID NOT ANSWER: ${toPrintable(node.fault)}`;
  }
  const { process: name, role, ready, leaving, ...rest } = node.status;
  const state = describeState(ready, leaving);
  const counts = Object.entries(rest)
    .filter(([, value]) => typeof value === 'number')
    .map(([key, value]) => ` ${key}=${String(value)}`)
    .join('');
  return `${node.address} ${toPrintable(name)} ${toPrintable(role)} ${state}${counts}`;
};

const describeState = (isReady: boolean, isLeaving: boolean): string => {
  if (isLeaving) {
    return 'leaving';
  }
  return isReady ? 'ready' : 'not ready';
};
