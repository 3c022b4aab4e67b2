/** Checks a gateway's configuration as the platform's store holds it, and compares it with another. */
import {
  ErrorKind,
  ExitCode,
  TypedError,
  bytesPerMebibyte,
} from '@lycheetally/common';
import {
  checkGatewayConfiguration,
  checkVersionOrder,
  describeFinding,
  formatPlace,
  listDifferences,
  type ConfigurationDifference,
  type DeclaredConfiguration,
  type DescribedFinding,
} from '@lycheetally/decisions';
import { configurationNames, parseConfiguration } from '@lycheetally/platform';

export interface GatewayCheckOptions {
  /** Memory of the smallest VM that runs a gateway, in MiB. */
  readonly memoryMb: number | undefined;
  /** The file to compare with. */
  readonly against: NamedText | undefined;
  readonly isJson: boolean;
}

/** A file with its content. */
export interface NamedText {
  readonly path: string;
  readonly text: string;
}

export interface GatewayCheckResult {
  readonly exitCode: number;
  readonly lines: readonly string[];
}

type DescribedDifference = Omit<ConfigurationDifference, 'place'> & {
  readonly place: string;
};

interface CheckReport {
  readonly file: string;
  readonly version: number | undefined;
  readonly findings: readonly DescribedFinding[];
  /** Absent if nothing was compared. */
  readonly differences: readonly DescribedDifference[] | undefined;
}

/** Whether a file holds a gateway's configuration; those of the project's own router are INI files. */
export const isGatewayConfiguration = ({ path, text }: NamedText): boolean =>
  path.endsWith('.json') || /^\s*\{/.test(text);

/** Throws a `TypedError` if a file is not readable. */
export const checkGatewayFile = (
  file: NamedText,
  { memoryMb, against, isJson }: GatewayCheckOptions,
): GatewayCheckResult => {
  const parsed = parseConfiguration(parseText(file));
  const earlier = against && parseEarlier(against);
  const report: CheckReport = parsed.err
    ? {
        file: file.path,
        version: undefined,
        findings: parsed.val,
        differences: undefined,
      }
    : buildReport(file.path, parsed.val, earlier, memoryMb);
  return {
    exitCode: report.findings.length > 0 ? ExitCode.Failure : ExitCode.Ok,
    lines: isJson ? [JSON.stringify(report, null, 2)] : formatReport(report),
  };
};

const buildReport = (
  file: string,
  configuration: DeclaredConfiguration,
  earlier: DeclaredConfiguration | undefined,
  memoryMb: number | undefined,
): CheckReport => {
  const memoryBytes =
    memoryMb === undefined ? undefined : memoryMb * bytesPerMebibyte;
  const differences = earlier && listDifferences(earlier, configuration);
  const findings = [
    ...(earlier && differences && differences.length > 0
      ? checkVersionOrder(earlier, configuration)
      : []),
    ...checkGatewayConfiguration(configuration, memoryBytes),
  ];
  return {
    file,
    version: configuration.version,
    findings: findings.map(each => describeFinding(each, configurationNames)),
    differences: differences?.map(difference => ({
      ...difference,
      place: formatPlace(difference.place, configurationNames),
    })),
  };
};

const parseEarlier = (file: NamedText): DeclaredConfiguration => {
  const parsed = parseConfiguration(parseText(file));
  if (parsed.err) {
    throw new TypedError(
      ErrorKind.BadSetting,
      `"${file.path}" is not readable as a gateway's configuration`,
      `run for its faults: lycheetally config check ${file.path}`,
    );
  }
  return parsed.val;
};

const parseText = ({ path, text }: NamedText): unknown => {
  try {
    return JSON.parse(text);
  } catch (thrown) {
    throw new TypedError(
      ErrorKind.BadSetting,
      `"${path}" is not readable as JSON${describeFaultPlace(text, thrown)}`,
      'write the configuration as the store holds it',
    );
  }
};

/** Leaves out the rest of the message of the parser, which may quote a key. */
const describeFaultPlace = (text: string, thrown: unknown): string => {
  const found = /at position (\d+)/.exec(String(thrown));
  const lines = text.slice(0, Number(found?.[1])).split('\n');
  return found ? `: see line ${String(lines.length)}` : '';
};

const formatReport = (report: CheckReport): string[] => {
  const { file, findings, differences } = report;
  const count = findings.length;
  return [
    ...findings.map(
      ({ severity, place, fault, effect, remedy }) =>
        `${severity}: ${place}: ${fault}\n  callers: ${effect}\n  remedy: ${remedy}`,
    ),
    ...(differences ? formatDifferences(differences) : []),
    `${file}: ${count === 0 ? 'no faults' : `${String(count)} fault${count === 1 ? '' : 's'}`}.`,
  ];
};

const formatDifferences = (
  differences: readonly DescribedDifference[],
): string[] =>
  differences.length === 0
    ? ['No differences.']
    : formatTable([
        ['change', 'place', 'before', 'after', 'callers'],
        ...differences.map(({ change, place, before, after, effect }) => [
          change,
          place,
          trimCell(before),
          trimCell(after),
          effect,
        ]),
      ]);

/** Longest value in a cell, in characters; the JSON form has the whole. */
const maxCellLength = 40;

const trimCell = (text: string): string => {
  const line = text.replace(/\p{Cc}/gu, ' ');
  return line.length > maxCellLength
    ? `${line.slice(0, maxCellLength - 3)}...`
    : line || '-';
};

const formatTable = (rows: readonly (readonly string[])[]): string[] => {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map(row => row[column]?.length ?? 0)),
  );
  return rows.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
};
