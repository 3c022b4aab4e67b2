/** Bundles the gateway daemon and its chart files into target/ for the users' platform. */
import { cpSync, mkdirSync } from 'node:fs';
import { build } from 'esbuild';

const packages = ['charts', 'common', 'decisions', 'gateway', 'node'];
const alias = Object.fromEntries([
  ...packages.map(name => [
    `@lycheetally/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
  ['@lycheetally/platform', './platform/src/index.ts'],
  ['ts-results', './scripts/deployResults.mjs'],
]);

mkdirSync('target/bin', { recursive: true });
cpSync('packages/charts/charts', 'target/charts', { recursive: true });
await build({
  entryPoints: { gateway: 'apps/gateway/src/main.ts' },
  outdir: 'target/bin',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  alias,
  // An ES module has no `require`, which bundled CommonJS dependencies call.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
