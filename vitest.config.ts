import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const folder = fileURLToPath(new URL('.', import.meta.url));

export default defineConfig({
  resolve: {
    alias: [
      {
        find: /^@lycheetally\/bench$/,
        replacement: `${folder}bench/src/index.ts`,
      },
      {
        find: /^@lycheetally\/gateway-daemon$/,
        replacement: `${folder}apps/gateway/src/index.ts`,
      },
      {
        find: /^@lycheetally\/platform$/,
        replacement: `${folder}platform/src/index.ts`,
      },
      {
        find: /^@lycheetally\/(.*)$/,
        replacement: `${folder}packages/$1/src/index.ts`,
      },
    ],
  },
  test: {
    include: [
      '{packages,apps}/*/tests/**/*.test.ts',
      'bench/tests/**/*.test.ts',
      'platform/tests/**/*.test.ts',
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
  },
});
