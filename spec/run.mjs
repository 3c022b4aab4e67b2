/**
 * Checks the models of this folder exhaustively with Spin.
 *
 *     node spec/run.mjs              every model of models.json but the slow ones
 *     node spec/run.mjs claim        one model
 *     node spec/run.mjs claim NO_PROMISE   one mutation of it
 *
 * The rules as they are must hold in every reachable state; with any one rule
 * switched off (`-D` and the mutation's name) Spin must find a counterexample.
 * Ends in a line of JSON; the exit code is 1 when a check went wrong and 3
 * when a tool is missing.
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

/** Explores one variant; `mutation` is empty for the rules as they are. */
const checkVariant = (file, defines, mutation) => {
  const folder = mkdtempSync(join(tmpdir(), 'lycheetally-spec-'));
  try {
    const names = mutation === '' ? defines : [...defines, mutation];
    const switches = names.map(name => `-D${name}`);
    const made = runTool(
      'spin',
      [...switches, '-a', join(specFolder, file)],
      folder,
    );
    if (made.status !== 0) failRun('spin', made);
    const optimization = mutation === '' ? '-O2' : '-O0';
    const flags = [
      optimization,
      '-w',
      '-DSAFETY',
      `-DMEMLIM=${memoryMegabytes}`,
    ];
    const built = runTool('gcc', [...flags, '-o', 'pan', 'pan.c'], folder);
    if (built.status !== 0) failRun('gcc', built);
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
    `no model ${onlyModel}; name one of: ${Object.keys(models).join(', ')}`,
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
