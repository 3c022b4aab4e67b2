/** Runs a case: starts a small system, records what was seen, and ends with the exit code that says whether the rule held. */
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { Gateway } from './gateway.js';
import { startStore } from './platform.js';
import type { LogStore } from './store.js';
import { Worker, type WorkerScript } from './worker.js';

export { wait };

/** A case may run for 120 s; one that takes longer could not run. */
const longestRunMs = 110_000;

/** What the script of a case uses. */
export class CaseRun {
  readonly workers: Worker[] = [];
  readonly gateways: Gateway[] = [];
  private readonly startedAt = performance.now();

  constructor(
    /** Whether the disruption is applied. */
    readonly hasTrouble: boolean,
    readonly store: LogStore,
    readonly storeAddress: string,
    readonly folder: string,
    private readonly recordPath: string,
  ) {
    writeFileSync(recordPath, '');
  }

  /** Writes a line to the record. */
  note(text: string): void {
    const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.recordPath, `${at} ${text}\n`);
  }

  async startWorker(
    options: ConstructorParameters<typeof Worker>[0],
    script: WorkerScript,
  ): Promise<Worker> {
    const worker = new Worker(options, script);
    this.workers.push(worker);
    await worker.start(this.store);
    return worker;
  }

  /** Starts a gateway and waits until it serves with so many workers. */
  async startGateway(
    id: string,
    workerCount: number,
    storeAddress = this.storeAddress,
  ): Promise<Gateway> {
    const gateway = await Gateway.create(this.folder, id, storeAddress);
    this.gateways.push(gateway);
    gateway.start();
    await waitUntil(
      () =>
        gateway.countLog('The gateway serves.') > 0 &&
        gateway.countLog('A server joined.') >= workerCount,
      15_000,
    );
    return gateway;
  }

  /** Ends all processes and servers. */
  async dispose(): Promise<void> {
    for (const gateway of this.gateways) {
      gateway.sendSignal('SIGCONT');
      gateway.sendSignal('SIGKILL');
    }
    this.workers.forEach(worker => {
      worker.close();
    });
    this.store.close();
    await wait(200);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

export const waitUntil = async (
  isDone: () => boolean,
  limitMs: number,
): Promise<void> => {
  const endsAt = performance.now() + limitMs;
  while (!isDone()) {
    if (performance.now() > endsAt) {
      throw new Error('what the case waits for did not come');
    }
    await wait(20);
  }
};

/** Runs the script, which returns whether the rule held. The first argument of the process is the path of the record. */
export const runCase = async (
  runScript: (run: CaseRun) => Promise<boolean>,
): Promise<void> => {
  const recordPath = process.argv[2] ?? 'record.txt';
  const hasTrouble = process.env.TROUBLE !== '0';
  const folder = mkdtempSync(join(tmpdir(), 'lycheetally-review-'));
  const { store, address } = await startStore();
  const run = new CaseRun(hasTrouble, store, address, folder, recordPath);
  let code = 2;
  const finish = async (): Promise<void> => {
    await run.dispose();
    process.exit(code);
  };
  const failRun = (reason: string): void => {
    run.note(`the case could not run: ${reason}`);
    code = 2;
    void finish();
  };
  setTimeout(() => {
    failRun('it took too long');
  }, longestRunMs).unref();
  process.on('uncaughtException', thrown => {
    failRun(String(thrown));
  });
  process.on('SIGTERM', () => {
    failRun('it was ended');
  });
  run.note(hasTrouble ? 'with the disruption' : 'without the disruption');
  try {
    code = (await runScript(run)) ? 0 : 1;
    run.note(code === 0 ? 'the rule held' : 'the rule was broken');
  } catch (thrown) {
    run.note(`the case could not run: ${String(thrown)}`);
    code = 2;
  }
  await finish();
};
