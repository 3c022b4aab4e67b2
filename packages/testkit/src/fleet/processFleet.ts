/** Starts daemons as separate processes, signals them and stops them. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import ini from 'ini';
import { z } from 'zod';

const readyLineSchema = z.object({
  ready: z.literal(true),
  addresses: z.record(z.string(), z.string()),
});

/** Path of each daemon's main module, relative to the repository's root. */
export const DaemonPath = {
  Entry: 'apps/entry/dist/main.js',
  Agent: 'apps/agent/dist/main.js',
  StandIn: 'apps/standins/dist/main.js',
} as const;
export type DaemonPath = (typeof DaemonPath)[keyof typeof DaemonPath];

/** A process that has reported that it is ready. */
export interface FleetProcess {
  readonly name: string;
  readonly addresses: Readonly<Record<string, string>>;
  readonly child: ChildProcess;
  /** Lines that the process has written to standard error. */
  readonly lines: string[];
  /** Resolves with the exit code, or `null` if a signal ended the process. */
  readonly exited: Promise<number | null>;
}

/** Sections of a settings file. */
export type SettingsSections = Readonly<
  Record<string, Readonly<Record<string, string | number>>>
>;

const rootFolder = fileURLToPath(new URL('../../../../', import.meta.url));
const startTimeoutMs = 20_000;

export class ProcessFleet {
  private readonly folder = mkdtempSync(join(tmpdir(), 'lycheetally-'));
  private readonly processes = new Map<string, FleetProcess>();

  /** Starts a daemon with a settings file and waits until it is ready. */
  async startDaemon(
    name: string,
    path: DaemonPath,
    settings: SettingsSections,
  ): Promise<FleetProcess> {
    const file = join(this.folder, `${name}.ini`);
    writeFileSync(file, ini.stringify(settings));
    return this.startProcess(name, path, ['--settings', file]);
  }

  /** Starts a stand-in and returns its address as `host:port`. */
  async startStandIn(
    name: string,
    kind: string,
    options: Readonly<Record<string, number>> = {},
  ): Promise<string> {
    const flags = Object.entries(options).flatMap(([key, value]) => [
      `--${key}`,
      String(value),
    ]);
    const path = DaemonPath.StandIn;
    const started = await this.startProcess(name, path, [kind, ...flags]);
    return started.addresses.http ?? '';
  }

  /** Returns a process by name. Throws if there is none. */
  getProcess(name: string): FleetProcess {
    const found = this.processes.get(name);
    if (!found) {
      throw new Error(`No process is named ${name}`);
    }
    return found;
  }

  listProcesses(): readonly FleetProcess[] {
    return [...this.processes.values()];
  }

  /** Sends a signal to a process. */
  sendSignal(name: string, signal: NodeJS.Signals): void {
    this.getProcess(name).child.kill(signal);
  }

  /** Kills every process, suspended ones included, and removes the settings files. */
  async dispose(): Promise<void> {
    for (const { child } of this.processes.values()) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(this.listProcesses().map(process => process.exited));
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async startProcess(
    name: string,
    path: DaemonPath,
    args: readonly string[],
  ): Promise<FleetProcess> {
    const child = spawn(process.execPath, [join(rootFolder, path), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const lines: string[] = [];
    createInterface({ input: child.stderr }).on('line', line => {
      lines.push(line);
    });
    const exited = new Promise<number | null>(resolve => {
      child.on('exit', resolve);
    });
    const addresses = await readReadyLine(name, child, lines);
    const started = { name, addresses, child, lines, exited };
    this.processes.set(name, started);
    return started;
  }
}

const readReadyLine = (
  name: string,
  child: ChildProcess,
  lines: readonly string[],
): Promise<Record<string, string>> =>
  new Promise((resolve, reject) => {
    const fail = (what: string): void => {
      clearTimeout(timer);
      child.kill('SIGKILL');
      reject(new Error(`${name} ${what}: ${lines.join(' / ')}`));
    };
    const timer = setTimeout(() => {
      fail('was not ready in time');
    }, startTimeoutMs);
    const handleExit = (code: number | null): void => {
      fail(`ended with exit code ${String(code)}`);
    };
    child.on('exit', handleExit);
    if (!child.stdout) {
      fail('has no standard output');
      return;
    }
    createInterface({ input: child.stdout }).once('line', line => {
      clearTimeout(timer);
      child.off('exit', handleExit);
      resolve(readyLineSchema.parse(JSON.parse(line)).addresses);
    });
  });
