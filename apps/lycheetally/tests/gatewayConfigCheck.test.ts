/** `lycheetally config check` on gateway configurations: exit codes, places and forms of the result. */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterAll, describe, expect, it } from 'vitest';
import { formatConfigurationRecord } from '@lycheetally/testkit';

const main = fileURLToPath(new URL('../dist/main.js', import.meta.url));

const folder = mkdtempSync(join(tmpdir(), 'config-check-'));
afterAll(() => {
  rmSync(folder, { recursive: true });
});

const createRecord = (
  overrides: Readonly<Record<string, unknown>> = {},
): Record<string, unknown> => ({
  ...formatConfigurationRecord({
    version: 3,
    host: 'one.example',
    timeoutMs: 1_000,
    accounts: [{ name: 'north', keys: ['secret-a'] }],
  }),
  ...overrides,
});

let files = 0;
const writeText = (text: string, extension = 'json'): string => {
  files += 1;
  const path = join(folder, `${String(files)}.${extension}`);
  writeFileSync(path, text);
  return path;
};

const writeRecord = (overrides?: Readonly<Record<string, unknown>>): string =>
  writeText(JSON.stringify(createRecord(overrides)));

const runCheck = (
  ...args: readonly string[]
): { status: number | null; stdout: string; stderr: string } =>
  spawnSync(process.execPath, [main, 'config', 'check', ...args], {
    encoding: 'utf8',
  });

const routes = createRecord().routes as readonly object[];

const replaceInRoute = (change: object): Record<string, unknown> => ({
  routes: routes.map((route, at) =>
    at === 1 ? { ...route, ...change } : route,
  ),
});

describe('config check of a gateway configuration', () => {
  it('exits with 0 without faults', () => {
    const path = writeRecord();
    const { status, stdout } = runCheck(path, '--memory-mb', '256');
    expect(stdout).toBe(`${path}: no faults.\n`);
    expect(status).toBe(0);
  });

  it("shows a fault with its place in the operator's names, its effect and the remedy", () => {
    const { status, stdout } = runCheck(
      writeRecord(replaceInRoute({ latency_goal_ms: 2_000 })),
    );
    expect(status).toBe(1);
    expect(stdout).toContain('warning: routes[1] "look" latency_goal_ms: ');
    expect(stdout).toMatch(/\n {2}callers: .+\n {2}remedy: .+\n/);
  });

  it('reads the pause limit', () => {
    const { stdout } = runCheck(
      writeRecord(replaceInRoute({ gap_target_ms: 2_000 })),
    );
    expect(stdout).toContain('routes[1] "look" gap_target_ms: ');
  });

  it('compares the body limit with the memory that is given', () => {
    const path = writeRecord({
      limits: { ...(createRecord().limits as object), max_body_bytes: 200_000 },
    });
    expect(runCheck(path).status).toBe(0);
    const { status, stdout } = runCheck(path, '--memory-mb', '1');
    expect(status).toBe(1);
    expect(stdout).toContain('limits max_body_bytes: ');
  });

  it.each<[string, object, string, string]>([
    ['an unknown kind', { kind: 'idle' }, 'unknown-kind', 'kind'],
    ['a missing field', { attempts: undefined }, 'missing-field', 'attempts'],
    [
      'an ill-typed field',
      { timeout_ms: '1' },
      'ill-typed-field',
      'timeout_ms',
    ],
  ])('reports %s with its place', (_, change, kind, field) => {
    const run = runCheck(writeRecord(replaceInRoute(change)), '--json');
    expect(run.status).toBe(1);
    const { findings } = JSON.parse(run.stdout) as { findings: object[] };
    expect(findings).toEqual([
      expect.objectContaining({ kind, place: `routes[1] "look" ${field}` }),
    ]);
  });

  it('lists the differences as a table, and as JSON', () => {
    const before = writeRecord();
    const after = writeRecord({
      version: 4,
      routes: routes.slice(1),
      tenants: [{ name: 'north', api_keys: ['secret-b'] }],
    });
    const table = runCheck(after, '--against', before);
    expect(table.status).toBe(0);
    expect(table.stdout).toMatch(/^change +place +before +after +callers\n/);
    expect(table.stdout).toMatch(
      /\nremoved +routes\[0\] "book" .* calls to it get 404\n/,
    );
    const json = runCheck(after, '--against', before, '--json');
    expect(json.status).toBe(0);
    const { differences } = JSON.parse(json.stdout) as {
      differences: { change: string; place: string }[];
    };
    expect(differences.map(({ change, place }) => [change, place])).toEqual([
      ['removed', 'routes[0] "book"'],
      ['removed', 'tenants[0] "north" api_keys'],
      ['added', 'tenants[0] "north" api_keys'],
    ]);
    expect(table.stdout + json.stdout).not.toContain('secret');
  });

  it('reports a change that gateways ignore since its version is not above', () => {
    const after = writeRecord({ routes: routes.slice(1) });
    const { status, stdout } = runCheck(after, '--against', writeRecord());
    expect(status).toBe(1);
    expect(stdout).toContain('error: version: ');
  });

  it.each<[string, () => string[]]>([
    ['a file that does not exist', () => [join(folder, 'none.json')]],
    ['a file that is no JSON', () => [writeText('{ "version": ')]],
    [
      'an earlier file that is no configuration',
      () => [writeRecord(), '--against', writeText('{}')],
    ],
    [
      'an amount of memory that is no number',
      () => [writeRecord(), '--memory-mb', 'much'],
    ],
    [
      'a comparison of a file in the other form',
      () => [writeText('[rank.urgent]\n', 'ini'), '--against', writeRecord()],
    ],
  ])('exits with 2 for %s', (_, createArgs) => {
    const { status, stderr } = runCheck(...createArgs());
    expect(stderr).not.toBe('');
    expect(status).toBe(2);
  });

  // The parser quotes the text around a fault, and a shell's output may be kept.
  it('shows the line of malformed JSON, and no key', () => {
    const { stderr } = runCheck(writeText('{\n"api_keys": ["secret-a" x]}'));
    expect(stderr).toMatch(/is not readable as JSON/);
    expect(stderr).not.toContain('secret');
  });

  it("checks the router's own configuration as before", () => {
    const path = writeText(
      '[rank.urgent]\nurgency=0\nfloor=0.5\ntargetMs=500\n',
      'ini',
    );
    const { status, stdout } = runCheck(path);
    expect(stdout).toContain(`${path} is valid: `);
    expect(status).toBe(0);
  });
});
