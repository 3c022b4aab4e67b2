/** The models in spec/ hold, and removing any rule gives a counterexample. */
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';
import { z } from 'zod';

const specFolder = fileURLToPath(new URL('../../../spec/', import.meta.url));
const modelTimeoutMs = 240_000;

const modelsSchema = z.record(
  z.string(),
  z.object({
    mutations: z.array(z.string()),
    isSlow: z.boolean().default(false),
  }),
);

const resultsSchema = z.object({
  results: z.array(
    z.object({
      mutation: z.string(),
      errors: z.number(),
      states: z.number(),
      isExpected: z.boolean(),
    }),
  ),
});

const models = modelsSchema.parse(
  JSON.parse(readFileSync(`${specFolder}models.json`, 'utf8')),
);

const runModel = (model: string): z.output<typeof resultsSchema>['results'] => {
  const run = spawnSync(process.execPath, ['run.mjs', model], {
    cwd: specFolder,
    encoding: 'utf8',
  });
  if (run.status === 3) {
    throw new Error(run.stderr);
  }
  const last = run.stdout.trimEnd().split('\n').at(-1) ?? '';
  return resultsSchema.parse(JSON.parse(last)).results;
};

describe('the models of the core protocol', () => {
  const quick = Object.entries(models).filter(([, model]) => !model.isSlow);
  it.each(quick)(
    '%s holds, and fails with any rule removed',
    (name, { mutations }) => {
      const results = runModel(name);
      expect(results.map(result => result.mutation)).toEqual([
        '',
        ...mutations,
      ]);
      const [whole, ...mutated] = results;
      expect(whole).toMatchObject({ errors: 0, isExpected: true });
      expect(whole?.states).toBeGreaterThan(1_000);
      expect(mutated.filter(result => !result.isExpected)).toEqual([]);
    },
    modelTimeoutMs,
  );
});
