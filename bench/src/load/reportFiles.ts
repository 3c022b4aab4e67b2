/** Writes a load report as JSON, Markdown and SVG plots. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { toPrintable } from '@lycheetally/router';
import { View, parse } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { LoadGroup, LoadReport, Percentiles } from './loadReport.js';
import type { Reconciliation } from './reconcile.js';

/** Writes the files of a report into a folder and returns their paths. */
export const writeReport = async (
  report: LoadReport,
  folder: string,
): Promise<string[]> => {
  mkdirSync(folder, { recursive: true });
  const files = new Map<string, string>([
    ['report.json', `${JSON.stringify(report, null, 2)}\n`],
    ['report.md', formatReport(report)],
  ]);
  for (const [name, spec] of Object.entries(createPlots(report))) {
    files.set(`${name}.svg`, await drawPlot(spec));
  }
  return [...files].map(([name, text]) => {
    const path = join(folder, name);
    writeFileSync(path, text);
    return path;
  });
};

/** Draws a plot as SVG. */
export const drawPlot = async (spec: TopLevelSpec): Promise<string> => {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  try {
    return `${await view.toSVG()}\n`;
  } finally {
    view.finalize();
  }
};

const plotWidth = 560;
const plotHeight = 240;

const createPlots = (report: LoadReport): Record<string, TopLevelSpec> => ({
  arrivals: {
    title: 'Requests planned in each second, and those completed',
    width: plotWidth,
    height: plotHeight,
    data: {
      values: report.series.flatMap(({ second, rank, sent, complete }) => [
        { second, rank, requests: 'sent', n: sent },
        { second, rank, requests: 'complete', n: complete },
      ]),
    },
    mark: 'line',
    encoding: {
      x: { field: 'second', type: 'quantitative', title: 'second' },
      y: { field: 'n', type: 'quantitative', title: 'requests' },
      color: { field: 'rank', type: 'nominal', title: 'rank' },
      strokeDash: { field: 'requests', type: 'nominal', title: null },
    },
  },
  latency: {
    title: 'Time from the planned send to the end of complete answers',
    width: plotWidth,
    height: plotHeight,
    data: {
      values: report.ranks.flatMap(group =>
        (['p50', 'p95', 'p99', 'max'] as const).map(percentile => ({
          rank: group.name,
          percentile,
          ms: group.total[percentile],
        })),
      ),
    },
    mark: 'bar',
    encoding: {
      x: { field: 'rank', type: 'nominal', title: 'rank' },
      xOffset: { field: 'percentile', sort: null },
      y: { field: 'ms', type: 'quantitative', title: 'milliseconds' },
      color: { field: 'percentile', type: 'nominal', sort: null },
    },
  },
  endings: {
    title: 'How requests ended',
    width: plotWidth,
    height: plotHeight,
    data: {
      values: report.ranks.flatMap(group =>
        Object.entries(group.endings).map(([ending, n]) => ({
          rank: group.name,
          ending,
          n,
        })),
      ),
    },
    mark: 'bar',
    encoding: {
      x: { field: 'rank', type: 'nominal', title: 'rank' },
      y: { field: 'n', type: 'quantitative', title: 'requests' },
      color: { field: 'ending', type: 'nominal', title: 'ending' },
    },
  },
});

/** Formats a report as Markdown. */
export const formatReport = (report: LoadReport): string => {
  const lines = [
    `# Load run ${toPrintable(report.name)}, seed ${String(report.seed)}`,
    '',
    `${String(report.planned)} requests were planned and ${String(report.ended)} ended: ${formatCounts(report.endings)}.`,
    `${String(report.tokens)} tokens were received.`,
    ...report.faults.map(fault => `Fault at ${toPrintable(fault)}.`),
    `The load tool sent 99% of the requests within ${formatMs(report.lateness.p99)} of their planned time; latencies are measured from the planned time.`,
    '',
    ...formatTable('rank', report.ranks),
    ...formatTable('account', report.accounts),
    ...formatTable('phase', report.phases),
    ...formatLedger(report.ledger),
    '![arrivals](arrivals.svg) ![latency](latency.svg) ![endings](endings.svg)',
  ];
  return `${lines.join('\n')}\n`;
};

const formatTable = (title: string, groups: readonly LoadGroup[]): string[] => [
  `| ${title} | sent | endings | first token p50 / p95 / p99 | whole answer p50 / p95 / p99 |`,
  '| --- | --- | --- | --- | --- |',
  ...groups.map(
    group =>
      `| ${escapeCell(group.name)} | ${String(group.sent)} | ${formatCounts(group.endings)} | ${formatPercentiles(group.firstToken)} | ${formatPercentiles(group.total)} |`,
  ),
  '',
];

const escapeCell = (text: string): string =>
  toPrintable(text).replace(/[\\|`<>[\]]/g, match => `\\${match}`);

const formatCounts = (counts: Readonly<Record<string, number>>): string =>
  Object.entries(counts)
    .map(([name, count]) => `${escapeCell(name)} ${String(count)}`)
    .join(', ');

const formatMs = (value: number): string => `${value.toFixed(1)} ms`;

const formatPercentiles = (percentiles: Percentiles): string =>
  percentiles.count === 0
    ? 'none'
    : [percentiles.p50, percentiles.p95, percentiles.p99]
        .map(formatMs)
        .join(' / ');

const formatLedger = (ledger: Reconciliation | null): string[] => {
  if (!ledger) {
    return [
      'No ledger was read, so the results were not compared with one.',
      '',
    ];
  }
  return [
    ledger.isExact
      ? `The ledger agrees with the callers on each of ${String(ledger.compared)} requests and on ${String(ledger.ledger.tokens)} tokens.`
      : `The ledger DIFFERS from the callers on ${String(ledger.differenceCount)} of ${String(ledger.compared)} requests.`,
    ...ledger.differences.map(difference => `- ${toPrintable(difference)}`),
    ...ledger.ledgerFaults.map(fault => `- not read: ${toPrintable(fault)}`),
    '',
  ];
};
