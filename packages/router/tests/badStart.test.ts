/** A process that cannot start prints one line with the kind of error and exits with code 2. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

const entryProgram = fileURLToPath(
  new URL('../../../apps/entry/dist/main.js', import.meta.url),
);

const formatGoodSettings = (callers: string): string => `
[process]
id=entry-1
failureDomain=zona-brescia
[listen]
callers=${callers}
operators=127.0.0.1:0
[platform]
log=http://127.0.0.1:1
vmList=http://127.0.0.1:1
`;

describe('a process that cannot start', () => {
  let folder = '';
  const portHolder = createServer();

  beforeAll(async () => {
    folder = mkdtempSync(join(tmpdir(), 'lycheetally-start-'));
    await new Promise<void>(resolve => {
      portHolder.listen(0, '127.0.0.1', resolve);
    });
  });
  afterAll(() => {
    portHolder.close();
    rmSync(folder, { recursive: true });
  });

  const startEntry = (
    text: string | undefined,
  ): { status: number | null; stderr: string } => {
    const file = join(folder, 'entry.ini');
    if (text !== undefined) {
      writeFileSync(file, text);
    }
    const path = text === undefined ? join(folder, 'missing.ini') : file;
    const run = spawnSync(
      process.execPath,
      [entryProgram, '--settings', path],
      {
        encoding: 'utf8',
      },
    );
    return { status: run.status, stderr: run.stderr };
  };

  it('reports a missing settings file', () => {
    const run = startEntry(undefined);
    expect(run.status).toBe(2);
    expect(run.stderr).toMatch(/^bad-setting: .*missing\.ini.*--settings\n$/);
  });

  it('reports every invalid setting at once', () => {
    const run = startEntry(
      '[process]\nid=a b\n[listen]\ncallers=nowhere\noperators=127.0.0.1:0\n',
    );
    expect(run.status).toBe(2);
    for (const key of [
      'process.id',
      'process.failureDomain',
      'listen.callers',
      'platform',
    ]) {
      expect(run.stderr).toContain(`entry.ini: ${key}: `);
    }
    expect(run.stderr.trim().split('\n')).toHaveLength(1);
  });

  it('reports a port that is in use', () => {
    const { port } = portHolder.address() as AddressInfo;
    const run = startEntry(formatGoodSettings(`127.0.0.1:${String(port)}`));
    expect(run.status).toBe(2);
    expect(run.stderr).toMatch(
      /^bad-address: cannot listen on .*choose a free port/,
    );
  });
});
