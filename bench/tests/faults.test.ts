/** A few seeded fault runs; `lycheetally bench faults` makes many. */
import { describe, expect, it } from 'vitest';
import { runFaults } from '../src/index.js';

const seed = 7;
const runs = 4;
/** Generous, since the machine may be busy. */
const timeoutMs = 300_000;

describe('callers of a fleet under faults', () => {
  it(
    'get what was promised',
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
