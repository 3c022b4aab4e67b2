import { readFileSync } from 'node:fs';
import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

const verbsPage = readFileSync(
  new URL('docs/VERBS.md', import.meta.url),
  'utf8',
);
const verbs = [
  ...new Set(
    verbsPage
      .split('\n')
      .filter(line => line.startsWith('- `'))
      .flatMap(line => line.split(':')[0].match(/[a-z]+/g)),
  ),
];
const verbPattern = `^(${verbs.join('|')})([A-Z].*)?$`;

const restrictImports = (...names) => ({
  'no-restricted-imports': [
    'error',
    {
      patterns: names.map(name => ({
        group: [name],
        message: `This package may not depend on ${name}; see docs/DESIGN.md.`,
      })),
    },
  ],
});

const network = ['node:http', 'node:http2', 'node:net', 'node:child_process'];
const protobuf = ['@bufbuild/*'];
const processes = ['node:child_process', 'node:worker_threads', 'node:cluster'];
const product = ['@lycheetally/testkit', '@lycheetally/bench'];

export default tseslint.config(
  {
    ignores: [
      '**/dist/',
      '**/gen/',
      '**/node_modules/',
      'eslint.config.js',
      'vitest.config.ts',
      'scripts/**/*.mjs',
      'spec/**/*.mjs',
    ],
  },
  eslint.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: ['function', 'classMethod'],
          format: null,
          custom: { regex: verbPattern, match: true },
        },
        {
          selector: 'variable',
          modifiers: ['global', 'const', 'destructured'],
          types: ['function'],
          format: null,
        },
        {
          selector: 'variable',
          modifiers: ['global', 'const'],
          types: ['function'],
          format: null,
          custom: { regex: verbPattern, match: true },
        },
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        { argsIgnorePattern: '^_', varsIgnorePattern: '^_' },
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a constant object with `as const` and ValueOf.',
        },
      ],
    },
  },
  {
    files: ['packages/common/src/**'],
    rules: restrictImports('@lycheetally/*', ...network, ...protobuf),
  },
  {
    files: ['packages/charts/src/**'],
    rules: restrictImports(
      '@lycheetally/decisions',
      '@lycheetally/protocol',
      '@lycheetally/router',
      ...product,
      ...network,
      ...protobuf,
    ),
  },
  {
    files: ['packages/decisions/src/**'],
    rules: {
      ...restrictImports(
        '@lycheetally/charts',
        '@lycheetally/protocol',
        '@lycheetally/router',
        ...product,
        ...network,
        ...protobuf,
        'node:timers',
      ),
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'Date'],
    },
  },
  {
    files: ['packages/protocol/src/**'],
    rules: restrictImports(
      '@lycheetally/charts',
      '@lycheetally/decisions',
      '@lycheetally/router',
      ...product,
      ...network,
    ),
  },
  {
    files: ['packages/node/src/**'],
    rules: restrictImports(
      '@lycheetally/decisions',
      '@lycheetally/gateway',
      '@lycheetally/platform',
      '@lycheetally/router',
      ...product,
      ...protobuf,
    ),
  },
  {
    files: ['packages/gateway/src/**'],
    rules: restrictImports(
      '@lycheetally/platform',
      '@lycheetally/protocol',
      '@lycheetally/router',
      ...product,
      ...protobuf,
      ...processes,
    ),
  },
  {
    files: ['platform/src/**'],
    rules: restrictImports(
      '@lycheetally/charts',
      '@lycheetally/node',
      '@lycheetally/router',
      ...product,
      ...protobuf,
      ...processes,
    ),
  },
  {
    files: [
      'packages/router/src/**',
      'apps/entry/**',
      'apps/agent/**',
      'apps/gateway/**',
    ],
    rules: restrictImports(...product, ...protobuf, ...processes),
  },
);
