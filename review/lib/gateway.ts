/** Starts the gateway as the deploy file says, with settings made from its template. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';

const host = '127.0.0.1';

/** The figures of the sheet of a small installation. */
const figures: Readonly<Record<string, string>> = {
  zone: 'zone-a',
  ip: host,
  'bounds.grace_s': '8',
  heartbeat_ms: '1200',
  'bounds.revoke_ms': '5000',
  'bounds.retry_ratio': '0.2',
  'bounds.retry_slack': '198',
  'bounds.retry_window_s': '10',
  'provider.parts': '12',
};

export const findFreePort = (): Promise<number> =>
  new Promise(resolve => {
    const probe = createServer();
    probe.listen(0, host, () => {
      const bound = probe.address();
      const port = typeof bound === 'object' ? (bound?.port ?? 0) : 0;
      probe.close(() => {
        resolve(port);
      });
    });
  });

/** Reads a quoted value of the deploy file. */
const readDeployValue = (name: string): string => {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const line = text.split('\n').find(each => each.startsWith(`${name} = `));
  return /"(.*)"/.exec(line ?? '')?.[1] ?? '';
};

export class Gateway {
  /** Set once the process has ended. */
  end: string | undefined;
  readonly logPath: string;
  private child: ChildProcess | undefined;
  private readonly settingsPath: string;

  private constructor(
    folder: string,
    readonly id: string,
    readonly port: number,
    readonly metricsPort: number,
    settings: string,
  ) {
    this.logPath = join(folder, `${id}.log`);
    this.settingsPath = join(folder, `${id}.ini`);
    writeFileSync(this.settingsPath, settings);
  }

  static async create(
    folder: string,
    id: string,
    store: string,
  ): Promise<Gateway> {
    const ports: number[] = [];
    while (ports.length < 4) {
      const port = await findFreePort();
      if (!ports.includes(port)) {
        ports.push(port);
      }
    }
    const [front = 0, ready = 0, peers = 0, metrics = 0] = ports;
    const values: Readonly<Record<string, string>> = {
      ...figures,
      node: id,
      'listen.front': `${host}:${String(front)}`,
      'listen.ready': `${host}:${String(ready)}`,
      'port_range.0': String(peers),
      'provider.address': store,
    };
    const settings = readFileSync(readDeployValue('template'), 'utf8')
      .replace(
        /\{\{([a-z_.0-9]+)\}\}/g,
        (_, name: string) => values[name] ?? '',
      )
      .replace(/^metrics=.*$/m, `metrics=${host}:${String(metrics)}`);
    return new Gateway(folder, id, front, metrics, settings);
  }

  start(): void {
    this.end = undefined;
    const [program = '', ...flags] = readDeployValue('run').split(' ');
    const log = openSync(this.logPath, 'a');
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program, flags, {
      env: { PATH, HOME, LANG, LYCHEETALLY_SETTINGS: this.settingsPath },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.child.once('exit', (code, signal) => {
      this.end = `exit code ${String(code)}, signal ${String(signal)}`;
    });
  }

  /** Sends a signal to this process alone. */
  sendSignal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  get pid(): number {
    return this.child?.pid ?? 0;
  }

  countLog(message: string): number {
    return readFileSync(this.logPath, 'utf8').split(message).length - 1;
  }
}
