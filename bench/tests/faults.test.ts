/** Runs a few seeded fault runs; `lycheetally bench faults` makes 200. */
import { describe, expect, it } from 'vitest';
import { runFaults } from '../src/index.js';

const seed = 7;
const runs = 4;
/** Long enough for a host under load. */
const timeoutMs = 300_000;

describe('a fleet under injected faults', () => {
  it(
    'breaks no guarantee to its callers',
    async () => {
      const lines: string[] = [];
      const result = await runFaults({
        seed,
        runs,
        report: line => lines.push(line),
      });
      expect(result.violations, lines.join('\n')).toEqual([]);
      expect(result.requests).toBe(48);
    },
    timeoutMs,
  );
});
