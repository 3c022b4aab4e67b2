/** Parses the node addresses and times passed to the commands that query nodes. */
import { ErrorKind, TypedError } from '@lycheetally/common';

/** Environment variable that is used when `--nodes` is absent. */
const nodesVariable = 'LYCHEETALLY_NODES';

const addressPattern = /^([^\s:/]+|\[[^\]\s]+\]):\d{1,5}$/;

/** Parses `host:port,host:port`. Throws `Usage`. */
export const parseNodes = (flag: string | undefined): string[] => {
  const text = flag ?? process.env[nodesVariable] ?? '';
  const nodes = text.split(',').filter(node => node !== '');
  if (nodes.length === 0) {
    throw new TypedError(
      ErrorKind.Usage,
      'no node is given',
      `pass --nodes host:port,host:port or set ${nodesVariable}`,
    );
  }
  const invalid = nodes.find(node => !addressPattern.test(node));
  if (invalid !== undefined) {
    throw new TypedError(
      ErrorKind.Usage,
      `node "${invalid}" is not an address`,
      "write host:port of the operators' port of a process",
    );
  }
  return [...new Set(nodes)];
};

/** Parses an ISO 8601 date, or a duration before now such as `90s`, `5m` or `2h`. Throws `Usage`. */
export const parseSince = (
  text: string | undefined,
  now: number,
): number | undefined => {
  if (text === undefined) {
    return undefined;
  }
  const duration = /^(\d{1,9})(ms|s|m|h)$/.exec(text);
  if (duration) {
    return now - Number(duration[1]) * (unitMs[duration[2] ?? ''] ?? 1);
  }
  const at = Date.parse(text);
  if (Number.isNaN(at)) {
    throw new TypedError(
      ErrorKind.Usage,
      `time "${text}" cannot be read`,
      'write 90s, 5m, 2h or a date such as 2026-01-31T10:00:00Z',
    );
  }
  return at;
};

const unitMs: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};
