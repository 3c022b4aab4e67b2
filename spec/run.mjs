/**
 * Checks the models of this folder exhaustively with Spin.
 *
 *     node spec/run.mjs              all models of models.json except the slow ones
 *     node spec/run.mjs claim        one model
 *     node spec/run.mjs claim NO_PROMISE   one mutation of it
 *
 * The assertions must hold in every reachable state of the unmodified model. A
 * mutation (`-D` and its name) switches one rule off, and Spin must then find a
 * counterexample. The last line of output is JSON; the exit code is 1 if a
 * check fails and 3 if a tool is missing.
 */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const specFolder = fileURLToPath(new URL('.', import.meta.url));
const maxDepth = 100_000;
const memoryMegabytes = 2_048;
const toolMissingCode = 3;

const runTool = (command, args, folder) => {
  const run = spawnSync(command, args, { cwd: folder, encoding: 'utf8' });
  if (run.error?.code === 'ENOENT') {
    console.error(`${command} is not installed; run: apt-get install spin gcc`);
    process.exit(toolMissingCode);
  }
  return run;
};

const failRun = (what, run) => {
  throw new Error(`${what} failed:\n${run.stdout}\n${run.stderr}`);
};

const readNumber = (text, pattern) => Number(pattern.exec(text)?.[1] ?? NaN);

/** Explores one variant; `mutation` is empty for the unmodified model. */
const checkVariant = (file, defines, mutation) => {
  const folder = mkdtempSync(join(tmpdir(), 'lycheetally-spec-'));
  try {
    const names = mutation === '' ? defines : [...defines, mutation];
    const defineFlags = names.map(name => `-D${name}`);
    const generated = runTool(
      'spin',
      [...defineFlags, '-a', join(specFolder, file)],
      folder,
    );
    if (generated.status !== 0) failRun('spin', generated);
    const optimization = mutation === '' ? '-O2' : '-O0';
    const flags = [
      optimization,
      '-w',
      '-DSAFETY',
      `-DMEMLIM=${memoryMegabytes}`,
    ];
    const compiled = runTool('gcc', [...flags, '-o', 'pan', 'pan.c'], folder);
    if (compiled.status !== 0) failRun('gcc', compiled);
    const run = runTool(join(folder, 'pan'), [`-m${maxDepth}`], folder);
    const isWhole =
      !/search not completed|max search depth too small|out of memory/.test(
        run.stdout,
      );
    return {
      errors: readNumber(run.stdout, /errors: (\d+)/),
      states: readNumber(run.stdout, /(\d[\d.e+]*) states, stored/),
      fault: /pan:\d+: (.*?) \(at depth/.exec(run.stdout)?.[1] ?? '',
      isWhole,
    };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

const describeVariant = (mutation, result) => {
  const isExpected =
    mutation === ''
      ? result.errors === 0 && result.isWhole
      : result.errors > 0 && result.fault.startsWith('assertion violated');
  return { mutation, ...result, isExpected };
};

const models = JSON.parse(
  readFileSync(join(specFolder, 'models.json'), 'utf8'),
);
const [onlyModel, onlyMutation] = process.argv.slice(2);
if (onlyModel !== undefined && !(onlyModel in models)) {
  console.error(
    `unknown model ${onlyModel}; choose one of: ${Object.keys(models).join(', ')}`,
  );
  process.exit(1);
}

const results = [];
for (const [model, { file, defines, mutations, isSlow }] of Object.entries(
  models,
)) {
  if (onlyModel === undefined ? isSlow : onlyModel !== model) continue;
  const variants =
    onlyMutation === undefined ? ['', ...mutations] : [onlyMutation];
  for (const mutation of variants) {
    const result = describeVariant(
      mutation,
      checkVariant(file, defines, mutation),
    );
    const rule = mutation === '' ? 'all rules' : mutation;
    const found =
      result.errors > 0 ? `counterexample: ${result.fault}` : 'no fault';
    console.log(
      `${model}, ${rule}: ${result.states} states, ${found}${result.isExpected ? '' : '  <-- NOT AS EXPECTED'}`,
    );
    results.push({ model, ...result });
  }
}
console.log(JSON.stringify({ results }));
process.exitCode = results.every(result => result.isExpected) ? 0 : 1;
