/** Runs a backend server of a soak in a separate process, which a deadly call kills. */
import { fork, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { waitFor } from '@lycheetally/testkit';
import {
  isDeadly,
  type ServerKind,
  type ServerOutage,
  type SoakRun,
  type TimedRun,
} from './types.js';

const serverProgram = fileURLToPath(
  new URL('../../dist/soak/serverProgram.js', import.meta.url),
);

/** Time from the arrival of a deadly call until its server is killed, in milliseconds. */
const killAfterMs = 60;

export interface ServerProcessOptions {
  readonly serverId: string;
  readonly port: number;
  readonly kind: ServerKind;
  readonly seed: number;
  /** Time from the end of the process until it starts again. */
  readonly restartMs: number;
  /** Returns the milliseconds since the start of the soak. */
  readonly getNow: () => number;
  /** Publishes the server's record each time it listens. */
  readonly publish: (address: string) => void;
}

export class ServerProcess {
  readonly runs: SoakRun[] = [];
  readonly deadlyRuns: TimedRun[] = [];
  readonly outages: ServerOutage[] = [];
  private child: ChildProcess | undefined;
  private isDisposed = false;
  private hasEndedFaults = false;

  constructor(private readonly options: ServerProcessOptions) {}

  get isDown(): boolean {
    return this.outages.at(-1)?.backAt === Infinity;
  }

  /** Starts the process and waits until it listens; does so again each time it ends. */
  async start(): Promise<void> {
    if (this.isDisposed) {
      return;
    }
    const { serverId, port, kind, getNow, publish } = this.options;
    const seed = this.options.seed + this.outages.length;
    const child = fork(
      serverProgram,
      [serverId, port, kind, seed].map(value => String(value)),
    );
    this.child = child;
    child.once('exit', () => {
      void this.restart();
    });
    await new Promise<void>(resolve => {
      child.on('message', sent => {
        const run = sent as SoakRun | null;
        if (run === null) {
          this.outages.slice(-1).forEach(outage => {
            outage.backAt = getNow();
          });
          this.sendFaultEnd();
          publish(`127.0.0.1:${String(port)}`);
          resolve();
        } else {
          this.receiveRun(run);
        }
      });
    });
  }

  /** Kills the process, which starts again. */
  cut(): void {
    this.child?.kill('SIGKILL');
  }

  /** Stops the process for a while, as a sound server may fall silent. */
  async pause(forMs: number): Promise<void> {
    const { child } = this;
    child?.kill('SIGSTOP');
    await waitFor(forMs);
    child?.kill('SIGCONT');
  }

  /** Has the server answer every request correctly from now on. */
  endFaults(): void {
    this.hasEndedFaults = true;
    this.sendFaultEnd();
  }

  private sendFaultEnd(): void {
    if (this.hasEndedFaults && this.child?.connected) {
      this.child.send('end the faults');
    }
  }

  dispose(): void {
    this.isDisposed = true;
    this.cut();
  }

  private receiveRun(run: SoakRun): void {
    this.runs.push(run);
    if (isDeadly(run)) {
      const { child } = this;
      this.deadlyRuns.push({ run, at: this.options.getNow() });
      setTimeout(() => child?.kill('SIGKILL'), killAfterMs);
    }
  }

  private async restart(): Promise<void> {
    this.outages.push({ at: this.options.getNow(), backAt: Infinity });
    await waitFor(this.options.restartMs);
    await this.start();
  }
}
