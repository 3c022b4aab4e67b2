/** `lycheetally drain ADDRESS...`: stops processes one after another without interrupting work. */
import type { CAC } from 'cac';
import { ErrorKind, ExitCode, TypedError } from '@lycheetally/common';
import { requestJson } from '@lycheetally/router';
import { Command } from './command.js';

interface DrainFlags {
  readonly waitSeconds: number;
}

const callTimeoutMs = 2_000;
const pollMs = 200;
const millisecondsPerSecond = 1_000;

export class DrainCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command('drain [...addresses]', 'Stop processes, one after another')
      .option('--wait-seconds <number>', 'Maximum wait for each process', {
        default: 60,
      })
      .example('lycheetally drain 10.0.2.17:9090')
      .action((addresses: readonly string[], flags: DrainFlags) =>
        this.runAction(() => drainAll(addresses, flags)),
      );
  }
}

const drainAll = async (
  addresses: readonly string[],
  flags: DrainFlags,
): Promise<number> => {
  const invalid = addresses.find(address => !/^[^\s/]+:\d+$/.test(address));
  if (addresses.length === 0 || invalid !== undefined) {
    throw new TypedError(
      ErrorKind.Usage,
      invalid === undefined
        ? 'no address is given'
        : `"${invalid}" is not an address`,
      "pass operators' addresses, for example: lycheetally drain 10.0.2.17:9090",
    );
  }
  for (const address of addresses) {
    await drainOne(address, flags.waitSeconds * millisecondsPerSecond);
    process.stdout.write(`${address} has stopped.\n`);
  }
  return ExitCode.Ok;
};

const drainOne = async (address: string, waitMs: number): Promise<void> => {
  const response = await requestJson({
    method: 'POST',
    url: `http://${address}/v1/admin/drain`,
    timeoutMs: callTimeoutMs,
  });
  if (response.err || response.val.status !== 202) {
    throw new TypedError(
      ErrorKind.BadAddress,
      `${address} did not accept the request to drain`,
      "pass the operators' address of a running process",
    );
  }
  const end = Date.now() + waitMs;
  while (await isUp(address)) {
    if (Date.now() > end) {
      throw new TypedError(
        ErrorKind.DeadlineExceeded,
        `${address} still has work in flight`,
        'wait longer with --wait-seconds; no work was interrupted',
      );
    }
    await new Promise(resolve => setTimeout(resolve, pollMs));
  }
};

const isUp = async (address: string): Promise<boolean> => {
  const url = `http://${address}/healthz`;
  return (await requestJson({ method: 'GET', url, timeoutMs: callTimeoutMs }))
    .ok;
};
