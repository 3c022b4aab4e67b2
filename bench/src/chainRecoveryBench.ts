/**
 * Measures the time from the kill of a stage's agent to the next token of a
 * stream that uses it.
 *
 * The baseline is a caller that recovers by itself: it sends the request again
 * as soon as the agent is killed, starts from the first token, and waits until
 * the new stream reaches the token at which the first one resumed.
 */
import {
  RouterFleet,
  SeededRandom,
  defaultFleetOptions,
  streamCompletion,
  waitUntil,
  type CallerAnswer,
} from '@lycheetally/testkit';
import { Bench, type BenchOptions } from './types.js';

const trials = 12;
const promptWords = 200;
const maxTokens = 120;
const killAtToken = 60;
const millisecondsPerSecond = 1_000;
const stageCount = 3;

/** Result of one trial; times are in seconds. */
interface Recovery {
  readonly stage: number;
  readonly nextToken: number;
  readonly restart: number;
}

interface TimedStream {
  readonly answer: Promise<CallerAnswer>;
  /** Resolves with the arrival time of the token. */
  waitForToken(index: number): Promise<number>;
}

const makePrompt = (trial: number): string =>
  Array.from(
    { length: promptWords },
    (_, word) => `w${String(trial)}x${String(word)}`,
  ).join(' ');

const openTimedStream = (entry: string, prompt: string): TimedStream => {
  const times: number[] = [];
  const handleToken = (): void => {
    times.push(performance.now());
  };
  const answer = streamCompletion(entry, prompt, maxTokens, { handleToken });
  const waitForToken = async (index: number): Promise<number> => {
    await waitUntil(`token ${String(index)} has arrived`, () =>
      Boolean(times[index]),
    );
    return times[index] ?? 0;
  };
  return { answer, waitForToken };
};

/** Lists, by stage, the servers that run the only open stream. */
const listServingServers = async (fleet: RouterFleet): Promise<string[]> => {
  const newest = await Promise.all(
    [...fleet.backendUrls].map(async ([name, url]) => {
      const record = (await fleet.get(`${url}/runs`)) as {
        passes: { at: number }[];
      };
      return { name, at: record.passes.at(-1)?.at ?? 0 };
    }),
  );
  newest.sort((a, b) => b.at - a.at);
  return Array.from({ length: stageCount }, (_, stage) => {
    const prefix = `stage${String(stage)}-`;
    return newest.find(({ name }) => name.startsWith(prefix))?.name ?? '';
  });
};

const runTrial = async (
  fleet: RouterFleet,
  trial: number,
  random: SeededRandom,
): Promise<Recovery> => {
  const entry = fleet.entryUrls[0] ?? '';
  const prompt = makePrompt(trial);
  const stage = trial % stageCount;
  const stream = openTimedStream(entry, prompt);
  await stream.waitForToken(killAtToken + random.pickInteger(10));
  const servers = await listServingServers(fleet);
  const server = servers[stage] ?? '';
  const killedAt = performance.now();
  fleet.processes.sendSignal(`agent-${server}`, 'SIGKILL');
  const restartedStream = openTimedStream(entry, prompt);
  const answer = await stream.answer;
  if (answer.outcome !== 'complete') {
    throw new Error(`A stream ended as ${JSON.stringify(answer)}`);
  }
  const { index, at } = await findTokenAfterLongestGap(stream, killedAt);
  const restarted = await restartedStream.waitForToken(index);
  await restartedStream.answer;
  await fleet.restartAgent(server);
  await waitUntil('every entry is connected to every server', () =>
    fleet.isFullyConnected(),
  );
  return {
    stage,
    nextToken: (at - killedAt) / millisecondsPerSecond,
    restart: (restarted - killedAt) / millisecondsPerSecond,
  };
};

/** Finds the token that ends the longest gap between tokens after the kill. */
const findTokenAfterLongestGap = async (
  stream: TimedStream,
  killedAt: number,
): Promise<{ index: number; at: number }> => {
  let resumed = { index: killAtToken, at: killedAt };
  let longestMs = 0;
  let previousAt = killedAt;
  for (let index = 0; index < maxTokens; index += 1) {
    const at = await stream.waitForToken(index);
    if (at <= killedAt) {
      continue;
    }
    if (at - previousAt > longestMs) {
      longestMs = at - previousAt;
      resumed = { index, at };
    }
    previousAt = at;
  }
  return resumed;
};

const computeMedian = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

export class ChainRecoveryBench extends Bench {
  override readonly name = 'chain-recovery';
  override readonly summary =
    "seconds from the kill of a stage's agent to the next token, compared with a restart from the first token";
  override readonly unit = 's';

  protected override async measure({ seed, report }: BenchOptions): Promise<{
    baseline: number;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const fleet = new RouterFleet({
      ...defaultFleetOptions,
      stages: stageCount,
      replicas: 2,
      plainServers: 0,
      stepMs: 5,
      positionUs: 200,
      hasRelays: true,
    });
    const random = new SeededRandom(seed);
    const recoveries: Recovery[] = [];
    try {
      await fleet.start();
      for (let trial = 0; trial < trials; trial += 1) {
        recoveries.push(await runTrial(fleet, trial, random));
        report(JSON.stringify(recoveries.at(-1)));
      }
    } finally {
      await fleet.dispose();
    }
    const ours = computeMedian(recoveries.map(each => each.nextToken));
    const baseline = computeMedian(recoveries.map(each => each.restart));
    const worst = Math.max(...recoveries.map(each => each.nextToken));
    const detail = { trials, promptWords, killAtToken, worst, recoveries };
    return { baseline, ours, detail };
  }
}
