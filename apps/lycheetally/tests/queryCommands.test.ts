/** The commands that query nodes, run against a fleet in which a stage is killed. */
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { get, type IncomingMessage } from 'node:http';
import { fileURLToPath } from 'node:url';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { readBody } from '@lycheetally/router';
import {
  RouterFleet,
  defaultFleetOptions,
  streamCompletion,
  waitUntil,
} from '@lycheetally/testkit';

const main = fileURLToPath(new URL('../dist/main.js', import.meta.url));

const readRootFile = (path: string): string =>
  readFileSync(new URL(`../../../${path}`, import.meta.url), 'utf8');

const readText = async (url: string): Promise<string> => {
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    get(url, resolve).on('error', reject);
  });
  return (await readBody(response, 1_000_000)).toString('utf8');
};

interface CommandRun {
  readonly status: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

const runCommand = (...args: readonly string[]): Promise<CommandRun> =>
  new Promise(resolve => {
    const child = spawn(process.execPath, [main, ...args]);
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', chunk => {
      stdout += String(chunk);
    });
    child.stderr.on('data', chunk => {
      stderr += String(chunk);
    });
    child.on('close', status => {
      resolve({ status, stdout, stderr });
    });
  });

describe('the commands that query nodes', () => {
  const fleet = new RouterFleet({ ...defaultFleetOptions, plainServers: 0 });
  let nodes = '';

  beforeAll(async () => {
    await fleet.start();
    nodes = fleet.processes
      .listProcesses()
      .flatMap(process => process.addresses.operators ?? [])
      .join(',');
    const entry = fleet.entryUrls[0] ?? '';
    const headers = { 'x-request-id': 'my-own-id' };
    const pending = streamCompletion(entry, 'long', 400, {
      deadlineMs: 3_000,
      headers,
    });
    await waitUntil('tokens flow', async () => {
      const operators =
        fleet.processes.getProcess('entry-0').addresses.operators ?? '';
      const status = (await fleet.get(
        `http://${operators}/v1/admin/status`,
      )) as { tokens: { delivered: number } };
      return status.tokens.delivered > 0;
    });
    fleet.processes.sendSignal('agent-stage2-0', 'SIGKILL');
    await pending;
  });
  afterAll(() => fleet.dispose());

  it('timeline reports the killed stage as not answering and sorts the events of the others', async () => {
    const run = await runCommand(
      'timeline',
      ...['--nodes', nodes, '--request', 'my-own-id'],
    );
    expect(run.status).toBe(1);
    expect(run.stdout).toContain('DID NOT ANSWER');
    const kinds = ['request-accepted', 'attempt-offered', 'work-started'];
    const places = [...kinds, 'request-ended'].map(kind =>
      run.stdout.indexOf(` ${kind} `),
    );
    expect(places).not.toContain(-1);
    expect(places).toEqual([...places].sort((a, b) => a - b));
  });

  it("explain accepts the caller's id and describes route and outcome", async () => {
    const run = await runCommand('explain', 'my-own-id', '--nodes', nodes);
    expect(run.stdout).toMatch(/caller's id my-own-id\) came to entry-0/);
    expect(run.stdout).toMatch(/Routed to stage0-0 > stage1-0 > stage2-0/);
    expect(run.stdout).toMatch(/Ended (failed|unknown) with \d+ tokens/);
    expect(run.stdout).toContain('Missing part');
  });

  it('the alerts and the dashboard use only metrics that exist', async () => {
    const pages = await Promise.all(
      ['entry-0', 'agent-stage0-0'].map(name => {
        const { operators } = fleet.processes.getProcess(name).addresses;
        return readText(`http://${operators ?? ''}/metrics`);
      }),
    );
    const known = new Set(
      pages.flatMap(page =>
        [...page.matchAll(/^(?:# TYPE )?([a-z_0-9]+)/gm)].map(
          match => match[1],
        ),
      ),
    );
    const used = ['ops/alerts.yaml', 'ops/dashboard.json'].flatMap(file => [
      ...readRootFile(file).matchAll(
        /\b(?:lycheetally|nodejs|process)_[a-z_0-9]+/g,
      ),
    ]);
    expect(used.length).toBeGreaterThan(20);
    const missing = used
      .map(match => match[0].replace(/_bucket$/, ''))
      .filter(name => !known.has(name));
    expect(missing).toEqual([]);
  });

  it('each alert has a page', () => {
    const alerts = [
      ...readRootFile('ops/alerts.yaml').matchAll(/runbook: (\S+)/g),
    ];
    expect(alerts.length).toBeGreaterThan(5);
    for (const [, page] of alerts) {
      expect(readRootFile(page ?? '')).toContain('## What to do');
    }
  });

  it('status shows the state of each process', async () => {
    const run = await runCommand('status', '--nodes', nodes, '--json');
    const { nodes: shown } = JSON.parse(run.stdout) as {
      nodes: { fault?: string; status?: { process: string } }[];
    };
    expect(shown.filter(node => node.fault !== undefined)).toHaveLength(1);
    expect(shown.map(node => node.status?.process)).toContain('entry-0');
  });

  it.each([
    ['no nodes', ['timeline'], 'usage: no node is given'],
    ['a bad node', ['status', '--nodes', 'x'], 'node "x" is not an address'],
    [
      'a bad time',
      ['timeline', '--nodes', '127.0.0.1:1', '--since', 'soon'],
      'time "soon" cannot be read',
    ],
    ['an unknown command', ['fly'], 'command "fly" does not exist'],
    ['an unknown flag', ['status', '--colour'], 'Unknown option'],
  ])('%s prints one line and exits with code 2', async (_, args, message) => {
    const run = await runCommand(...args);
    expect(run.status).toBe(2);
    expect(run.stderr).toContain(message);
    expect(run.stderr.trim().split('\n')).toHaveLength(1);
  });
});
