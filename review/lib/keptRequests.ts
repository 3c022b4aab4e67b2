/** Clients that send requests one after the other, each on its kept channel, and what became of them. */
import type { CaseRun } from './case.js';
import { Client, type ClientAnswer } from './client.js';
import type { Gateway } from './gateway.js';
import { getRequestId, type WorkerRequest } from './worker.js';

export interface KeptRequestOptions {
  /** Name of the requests in the record. */
  readonly name: string;
  readonly path: string;
  /** How long the client waits. */
  readonly timeoutMs: number;
  readonly body?: Buffer;
}

export class KeptRequests {
  /** Ids of the requests that sound workers began to run. */
  readonly run = new Set<string>();
  readonly answers: ClientAnswer[] = [];
  private isStopped = false;
  private readonly loops: Promise<void>[] = [];

  constructor(private readonly options: KeptRequestOptions) {}

  /** Notes that a sound worker runs the request. */
  noteRun(request: WorkerRequest): void {
    this.run.add(getRequestId(request));
  }

  /** Starts the clients; each sends until it gets no answer, or until the stop. */
  start(gateway: Gateway, count: number, round: number): void {
    this.isStopped = false;
    for (let each = 0; each < count; each += 1) {
      this.loops.push(
        this.sendInTurn(
          gateway,
          `${this.options.name}-${String(round)}-${String(each)}`,
        ),
      );
    }
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
    this.loops.length = 0;
  }

  /** Requests that came on a kept channel, ran at a sound worker, and whose channel closed without any answer. */
  listLost(): ClientAnswer[] {
    return this.answers.filter(
      ({ id, status, fault }) =>
        status === 0 &&
        this.run.has(id) &&
        !id.endsWith('-0') &&
        fault !== 'no answer in time',
    );
  }

  note(run: CaseRun): void {
    const complete = this.answers.filter(({ isComplete }) => isComplete);
    const lost = this.listLost();
    run.note(
      `${this.options.name}: ${String(this.answers.length)} sent, ${String(this.run.size)} run, ${String(complete.length)} answered, ${String(lost.length)} run and their kept channel closed without an answer`,
    );
    for (const { id, fault, afterMs } of lost) {
      run.note(`lost: ${id}, ${fault} after ${String(afterMs)} ms`);
    }
  }

  private async sendInTurn(gateway: Gateway, name: string): Promise<void> {
    const { path, timeoutMs, body } = this.options;
    const client = new Client(gateway.port);
    for (let turn = 0; !this.isStopped; turn += 1) {
      const answer = await client.send({
        id: `${name}-${String(turn)}`,
        path,
        timeoutMs,
        ...(body ? { body } : {}),
      });
      this.answers.push(answer);
      if (answer.status === 0) {
        break;
      }
    }
    client.dispose();
  }
}
