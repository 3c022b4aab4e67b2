/**
 * Measures the CPU time per relayed token, as the sum of entry and agent.
 *
 * The baseline is a minimal relay on Node's `http` module that forwards the
 * same lines from the engine stand-in to the caller.
 */
import { createServer, request } from 'node:http';
import { createInterface } from 'node:readline';
import { readFileSync } from 'node:fs';
import { startListening } from '@lycheetally/router';
import {
  RouterFleet,
  defaultFleetOptions,
  streamCompletion,
  type FleetProcess,
} from '@lycheetally/testkit';
import { Bench, type BenchOptions } from './types.js';

const streams = 16;
const tokensPerStream = 400;
const tokens = streams * tokensPerStream;
const ticksPerSecond = 100;
const microsecondsPerSecond = 1_000_000;
const promptText = 'when is the pickup at the harbour depot';

/** Reads the CPU time that a process has used, in microseconds. */
export const readCpuMicroseconds = (pid: number): number => {
  const stat = readFileSync(`/proc/${String(pid)}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks / ticksPerSecond) * microsecondsPerSecond;
};

const readTotalCpu = (processes: readonly FleetProcess[]): number =>
  processes.reduce(
    (sum, each) => sum + readCpuMicroseconds(each.child.pid ?? 0),
    0,
  );

const measureOurs = async (
  fleet: RouterFleet,
): Promise<{ cpu: number; seconds: number }> => {
  const entry = fleet.entryUrls[0] ?? '';
  const measured = ['entry-0', 'agent-stage0-0'].map(name =>
    fleet.processes.getProcess(name),
  );
  await streamCompletion(entry, promptText, tokensPerStream);
  const before = readTotalCpu(measured);
  const startedAt = Date.now();
  const answers = await Promise.all(
    Array.from({ length: streams }, (_, index) =>
      streamCompletion(
        entry,
        `${promptText} ${String(index)}`,
        tokensPerStream,
      ),
    ),
  );
  const seconds = (Date.now() - startedAt) / 1_000;
  const incomplete = answers.find(answer => answer.outcome !== 'complete');
  if (incomplete) {
    throw new Error(`A stream ended with ${JSON.stringify(incomplete)}`);
  }
  return { cpu: (readTotalCpu(measured) - before) / tokens, seconds };
};

const measurePlainRelay = async (engineUrl: string): Promise<number> => {
  const server = createServer((_, response) => {
    const outgoing = request(`${engineUrl}/v1/sequences`, { method: 'POST' });
    outgoing.on('response', engine => {
      createInterface({ input: engine }).on('line', line => {
        response.write(`data: ${line}\n\n`);
        const token = JSON.parse(line) as { end: boolean };
        if (token.end) {
          outgoing.end();
          response.end();
          return;
        }
        outgoing.write(`${line}\n`);
      });
    });
    const open = {
      requestId: 'bare',
      attempt: 1,
      epoch: 1,
      priority: 0,
      maxTokens: tokensPerStream,
      generated: 0,
    };
    outgoing.write(`${JSON.stringify(open)}\n`);
    const first = { prompt: promptText, generated: [] };
    outgoing.write(`${JSON.stringify(first)}\n`);
  });
  const address = { host: '127.0.0.1', port: 0 };
  const { port } = (await startListening(server, address)).unwrap();
  const before = process.cpuUsage();
  await Promise.all(Array.from({ length: streams }, () => drainResponse(port)));
  const used = process.cpuUsage(before);
  server.close();
  return (used.user + used.system) / tokens;
};

const drainResponse = (port: number): Promise<void> =>
  new Promise((resolve, reject) => {
    const outgoing = request({ host: '127.0.0.1', port, method: 'POST' });
    outgoing.on('error', reject);
    outgoing.on('response', response => {
      response.on('end', resolve);
      response.resume();
    });
    outgoing.end();
  });

export class RelayBench extends Bench {
  override readonly name = 'relay';
  override readonly summary =
    'CPU microseconds per token, entry and agent together, compared with a minimal relay';
  override readonly unit = 'CPU µs/token';

  protected override async measure({ report }: BenchOptions): Promise<{
    baseline: number;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const fleet = new RouterFleet({
      ...defaultFleetOptions,
      stages: 1,
      stepMs: 1,
      slots: streams,
    });
    try {
      report('Starting an entry, an agent and an engine stand-in');
      await fleet.start();
      const ours = await measureOurs(fleet);
      const engine = fleet.backendUrls.get('stage0-0') ?? '';
      const baseline = await measurePlainRelay(engine);
      const detail = { tokens, tokensPerSecond: tokens / ours.seconds };
      return { baseline, ours: ours.cpu, detail };
    } finally {
      await fleet.dispose();
    }
  }
}
