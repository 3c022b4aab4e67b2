/** A gateway logs what is wrong with a configuration, in a bounded number of bounded lines. */
import { Writable } from 'node:stream';
import { describe, expect, it } from 'vitest';
import {
  LogComponent,
  LoggerFactory,
  bytesPerMebibyte,
} from '@lycheetally/common';
import type { DeclaredConfiguration } from '@lycheetally/decisions';
import { maxFindingLines } from '../src/constants.js';
import { reportFindings } from '../src/reportFindings.js';

const createConfiguration = (accounts: number): DeclaredConfiguration => ({
  version: 7,
  routes: [],
  services: [],
  accounts: Array.from({ length: accounts }, (_, at) => ({
    name: `a${String(at)}-${'x'.repeat(10_000)}`,
    keys: [],
    urgency: undefined,
  })),
  limits: {
    maxHeaderBytes: 4_096,
    maxBodyBytes: 10_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
});

const collectLines = (configuration: DeclaredConfiguration): string[] => {
  const lines: string[] = [];
  const output = new Writable({
    write: (line, _encoding, done) => {
      lines.push(String(line));
      done();
    },
  });
  const log = new LoggerFactory('gateway-1', 'info', output).createLogger(
    LogComponent.Process,
  );
  reportFindings(log, configuration, 256 * bytesPerMebibyte);
  return lines;
};

describe('reportFindings', () => {
  it('logs nothing for a sound configuration', () => {
    expect(collectLines(createConfiguration(0))).toEqual([]);
  });

  it('logs each finding as one warning', () => {
    const lines = collectLines(createConfiguration(2));
    expect(lines).toHaveLength(2);
    expect(lines[0]).toContain('A configuration has a fault.');
    expect(lines[0]).toContain('account-without-key');
    expect(lines[0]).toContain('warn');
  });

  // A configuration with thousands of faults must not fill the log at each of its versions.
  it('bounds the number and the length of the lines', () => {
    const lines = collectLines(createConfiguration(5_000));
    expect(lines).toHaveLength(maxFindingLines + 1);
    expect(lines.at(-1)).toContain('5000');
    expect(Math.max(...lines.map(line => line.length))).toBeLessThan(1_000);
  });
});
