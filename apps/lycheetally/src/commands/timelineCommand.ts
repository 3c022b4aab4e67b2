/** `lycheetally timeline`: merges the events of all processes in causal order. */
import { writeFileSync } from 'node:fs';
import type { CAC } from 'cac';
import { ErrorKind, ExitCode, TypedError } from '@lycheetally/common';
import {
  TimelineFormat,
  collectTimeline,
  formatTimeline,
  listUnresponsive,
} from '@lycheetally/router';
import { Command } from './command.js';
import { parseNodes, parseSince } from './nodeFlags.js';

interface TimelineFlags {
  readonly nodes?: string;
  readonly request?: string | number;
  readonly since?: string | number;
  readonly kind?: string;
  readonly format: string;
  readonly json?: boolean;
  readonly out?: string;
}

export class TimelineCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command('timeline', 'Merge the events of all processes in causal order')
      .option('--nodes <addresses>', "Operators' ports, as host:port,host:port")
      .option(
        '--request <id>',
        "Only this request, by the router's or the caller's id",
      )
      .option('--since <time>', 'Only events since 90s, 5m, 2h or a date')
      .option('--kind <kind>', 'Only events of this kind')
      .option('--format <format>', 'text, json, trace or html', {
        default: TimelineFormat.Text,
      })
      .option('--json', 'The same as --format json')
      .option('--out <file>', 'Write to a file')
      .example(
        'lycheetally timeline --nodes 10.0.0.5:9090,10.0.2.17:9090 --since 5m',
      )
      .example(
        'lycheetally timeline --nodes 10.0.0.5:9090 --request my-id --format html --out my-id.html',
      )
      .action((flags: TimelineFlags) =>
        this.runAction(() => runTimeline(flags)),
      );
  }
}

const runTimeline = async (flags: TimelineFlags): Promise<number> => {
  const format =
    flags.json === true ? TimelineFormat.Json : parseFormat(flags.format);
  const timeline = await collectTimeline(parseNodes(flags.nodes), {
    request: toText(flags.request),
    since: parseSince(toText(flags.since), Date.now()),
    kind: flags.kind,
  });
  writeText(formatTimeline(timeline, format), flags.out);
  return listUnresponsive(timeline).length > 0 ? ExitCode.Failure : ExitCode.Ok;
};

// cac parses option values that consist of digits as numbers.
const toText = (flag: string | number | undefined): string | undefined =>
  flag === undefined ? undefined : String(flag);

const formats: ReadonlySet<string> = new Set(Object.values(TimelineFormat));

const parseFormat = (text: string): TimelineFormat => {
  if (!formats.has(text)) {
    throw new TypedError(
      ErrorKind.Usage,
      `format "${text}" does not exist`,
      `use one of: ${[...formats].join(', ')}`,
    );
  }
  return text as TimelineFormat;
};

const writeText = (text: string, file: string | undefined): void => {
  if (file === undefined) {
    process.stdout.write(text);
    return;
  }
  writeFileSync(file, text);
  process.stderr.write(`written to ${file}\n`);
};
