/** Runs a gateway as the deploy file starts it. */
import { spawn, type ChildProcess } from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { createFields, formatSettings } from './settings.js';

const loopback = '127.0.0.1';

const readinessPollMs = 50;

/** Time that a gateway gets to become ready, in milliseconds. */
const maxStartMs = 20_000;

const bytesPerKibibyte = 1_024;

/** Finds a free port of the loopback address. */
export const findFreePort = (host = loopback): Promise<number> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const bound = server.address();
      const port = typeof bound === 'object' && bound ? bound.port : 0;
      server.close(() => {
        resolve(port);
      });
    });
  });

/** Reads the command of the gateway from the deploy file. */
const readCommand = (): readonly string[] => {
  const text = readFileSync('deploy/system.toml', 'utf8');
  return /^run = "([^"]+)"$/m.exec(text)?.[1]?.split(' ') ?? [];
};

export class GatewayProcess {
  /** Port for callers. */
  port = 0;
  /** How the process ended, if it did. */
  ending: string | undefined;
  /** Log lines with these words are kept. */
  readonly keptLines: string[] = [];
  private readyPort = 0;
  private readonly folder = mkdtempSync(join(tmpdir(), 'gateway-'));
  private child: ChildProcess | undefined;

  constructor(
    private readonly node: string,
    private readonly store: string,
    /** Address of the metrics and for other gateways; the port of the metrics is the same on each VM. */
    private readonly ip: string,
    private readonly keptWords: readonly string[] = [],
  ) {}

  get pid(): number {
    return this.child?.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.child !== undefined && this.ending === undefined;
  }

  /** Starts the process and waits until it says that it is ready. */
  async start(): Promise<void> {
    this.port ||= await findFreePort();
    this.readyPort ||= await findFreePort();
    const fields = createFields({
      node: this.node,
      zone: 'zone-a',
      front: `${loopback}:${String(this.port)}`,
      ready: `${loopback}:${String(this.readyPort)}`,
      ip: this.ip,
      peerPort: await findFreePort(this.ip),
      store: this.store,
    });
    const path = join(this.folder, 'gateway.ini');
    writeFileSync(path, formatSettings(fields));
    this.startProcess(path);
    await this.waitUntilReady();
  }

  sendSignal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Memory that it has used at most, in bytes; 0 once it has ended. */
  readPeakMemory(): number {
    try {
      const text = readFileSync(`/proc/${String(this.pid)}/status`, 'utf8');
      const match = /^VmHWM:\s+(\d+) kB$/m.exec(text);
      return Number(match?.[1] ?? 0) * bytesPerKibibyte;
    } catch {
      return 0;
    }
  }

  dispose(): void {
    this.child?.kill('SIGCONT');
    this.child?.kill('SIGKILL');
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Asks for readiness as the platform does. */
  isReady(): Promise<boolean> {
    return new Promise(resolve => {
      const outgoing = request({
        host: loopback,
        port: this.readyPort,
        path: '/readiness',
        agent: false,
        timeout: 1_000,
      });
      outgoing.on('response', incoming => {
        incoming.resume();
        resolve(incoming.statusCode === 200);
      });
      outgoing.on('timeout', () => {
        outgoing.destroy();
      });
      outgoing.on('error', () => {
        resolve(false);
      });
      outgoing.end();
    });
  }

  private startProcess(settingsPath: string): void {
    const [program = '', ...words] = readCommand();
    const child = spawn(program, words, {
      env: {
        PATH: process.env.PATH ?? '',
        HOME: process.env.HOME ?? '',
        LYCHEETALLY_SETTINGS: settingsPath,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.ending = undefined;
    this.child = child;
    const log = createWriteStream(join(this.folder, 'gateway.log'));
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding('utf8');
      stream.on('data', (text: string) => {
        log.write(text);
        this.keepLines(text);
      });
    }
    child.once('exit', (code, signal) => {
      this.ending = signal ?? `exit code ${String(code)}`;
    });
  }

  private keepLines(text: string): void {
    const lines = text.split('\n');
    this.keptLines.push(
      ...lines.filter(line => this.keptWords.some(word => line.includes(word))),
    );
  }

  private async waitUntilReady(): Promise<void> {
    for (let at = 0; at < maxStartMs; at += readinessPollMs) {
      if (await this.isReady()) {
        return;
      }
      await wait(readinessPollMs);
    }
    throw new Error(`the gateway ${this.node} did not become ready`);
  }
}
