/** `lycheetally charts`: draws the state charts as a Markdown page. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { CAC } from 'cac';
import { ChartName, drawChart, readChartDefinition } from '@lycheetally/charts';
import { ExitCode } from '@lycheetally/common';
import { Command } from './command.js';

interface ChartsFlags {
  readonly out?: string;
}

export class ChartsCommand extends Command {
  override register(cli: CAC): void {
    cli
      .command('charts', 'Draw the state charts as a Markdown page')
      .option('--out <folder>', 'Write README.md there')
      .example('lycheetally charts --out docs/charts')
      .action((flags: ChartsFlags) =>
        this.runAction(() => Promise.resolve(runCharts(flags))),
      );
  }
}

const runCharts = (flags: ChartsFlags): number => {
  const page = formatChartsPage();
  if (flags.out === undefined) {
    process.stdout.write(page);
    return ExitCode.Ok;
  }
  mkdirSync(flags.out, { recursive: true });
  writeFileSync(join(flags.out, 'README.md'), page);
  return ExitCode.Ok;
};

/** Formats the page docs/charts/README.md. */
export const formatChartsPage = (): string => {
  const charts = Object.values(ChartName).sort().map(formatChart);
  const lines = [
    '# State charts',
    '',
    'Drawn by `lycheetally charts` from `packages/charts/charts`; a test checks',
    'that this page is current.',
    '',
    ...charts,
  ];
  return `${lines.join('\n').trimEnd()}\n`;
};

const formatChart = (name: ChartName): string => {
  const chart = readChartDefinition(name).unwrap();
  const lines = [
    `## ${chart.id}`,
    '',
    ...(chart.description === undefined ? [] : [chart.description, '']),
    '```mermaid',
    drawChart(chart),
    '```',
    '',
  ];
  return lines.join('\n');
};
