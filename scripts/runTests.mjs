/**
 * Runs the tests and ends with the line "N passed, N failed, N skipped".
 *
 * Failures of tests that KNOWN-RED.txt lists are printed and tolerated; any
 * other failure makes the exit code 1.
 */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const readKnownRed = () =>
  readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());

/** Tests that start processes beside crowds of callers; they run one at a time, after all others. */
const crowdTests = 'platform/tests/crowds/**';

const passes = [
  [`--exclude=${crowdTests}`],
  ['platform/tests/crowds/', '--maxWorkers=1', '--no-file-parallelism'],
];

const runVitest = passArguments => {
  const folder = mkdtempSync(join(tmpdir(), 'lycheetally-tests-'));
  const reportFile = join(folder, 'report.json');
  const { status } = spawnSync(
    process.execPath,
    [
      'node_modules/vitest/vitest.mjs',
      'run',
      '--passWithNoTests',
      '--reporter=default',
      '--reporter=json',
      `--outputFile.json=${reportFile}`,
      ...passArguments,
      ...process.argv.slice(2),
    ],
    { stdio: 'inherit' },
  );
  const { testResults } = JSON.parse(readFileSync(reportFile, 'utf8'));
  rmSync(folder, { recursive: true });
  return { status, testResults };
};

const runs = passes.map(runVitest);
const testResults = runs.flatMap(run => run.testResults);

const known = new Set(readKnownRed());
const tests = testResults.flatMap(file => file.assertionResults);
const failed = tests.filter(test => test.status === 'failed');
const knownFailed = failed.filter(test => known.has(test.fullName));
const brokenFiles = testResults.filter(
  file => file.status === 'failed' && file.assertionResults.length === 0,
);
knownFailed.forEach(test => console.log(`known red: ${test.fullName}`));
brokenFiles.forEach(file => console.log(`broken file: ${file.name}`));

const unexpected = failed.length - knownFailed.length + brokenFiles.length;
const hasFailed = ({ testResults: files }) =>
  files.some(file => file.status === 'failed');
// A pass whose tests all passed may still fail, as by an error that no test caught.
const isClean =
  unexpected === 0 && runs.every(run => run.status === 0 || hasFailed(run));
process.exitCode = isClean ? 0 : 1;
const passed = tests.filter(test => test.status === 'passed').length;
const skipped = tests.length - passed - failed.length;
console.log(
  `${passed} passed, ${failed.length + brokenFiles.length} failed, ${skipped} skipped`,
);
