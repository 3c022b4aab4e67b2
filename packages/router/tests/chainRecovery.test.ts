/** A stream survives faults of the servers and connections that it runs on. */
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import {
  ClosedLink,
  CutLink,
  Direction,
  FrozenProcess,
  KilledAgent,
  RouterFleet,
  SilentLink,
  checkHistory,
  defaultFleetOptions,
  readHistory,
  streamCompletion,
  waitUntil,
  type CallRecord,
  type CallerAnswer,
  type Fault,
  type History,
} from '@lycheetally/testkit';

const shortAnswer = 60;
/** Long enough to be still running when a silent connection is detected. */
const longAnswer = 150;
const faultAtToken = 12;
const bothDirections = [Direction.Forward, Direction.Backward];

interface ServerPasses {
  readonly name: string;
  readonly passes: History['passes'];
}

describe('a stream', () => {
  const fleet = new RouterFleet({
    ...defaultFleetOptions,
    stages: 2,
    replicas: 2,
    plainServers: 0,
    layers: 6,
    stepMs: 8,
    hasRelays: true,
    silenceSeconds: 1,
  });
  let calls = 0;

  beforeAll(() => fleet.start());
  afterAll(() => fleet.dispose());
  afterEach(async () => {
    await waitUntil('the fleet is whole', () => fleet.isFullyConnected());
  });

  const readPasses = (): Promise<ServerPasses[]> =>
    Promise.all(
      [...fleet.backendUrls].map(async ([name, url]) => {
        const { passes } = (await fleet.get(`${url}/runs`)) as ServerPasses;
        return { name, passes };
      }),
    );

  /** Returns the names of the servers that run the newest request, by stage. */
  const listRouteServers = async (): Promise<string[]> => {
    const servers = await readPasses();
    const newest = (server: ServerPasses): number =>
      server.passes.at(-1)?.at ?? 0;
    return [0, 1].map(
      stage =>
        servers
          .filter(({ name }) => name.startsWith(`stage${String(stage)}`))
          .sort((a, b) => newest(b) - newest(a))[0]?.name ?? '',
    );
  };

  const startStream = (
    maxTokens: number,
    options: Parameters<typeof streamCompletion>[3] = {},
  ): {
    prompt: string;
    answer: Promise<CallerAnswer>;
    streaming: Promise<void>;
  } => {
    calls += 1;
    const prompt = `stream ${String(calls)}`;
    let answer: Promise<CallerAnswer> | undefined;
    const streaming = new Promise<void>((resolve, reject) => {
      const handleToken = (text: string): void => {
        if (text.split(' ').length > faultAtToken) {
          resolve();
        }
      };
      answer = streamCompletion(fleet.entryUrls[0] ?? '', prompt, maxTokens, {
        deadlineMs: 30_000,
        handleToken,
        ...options,
      });
      answer.then(({ outcome }) => {
        reject(
          new Error(`the stream ended before the fault: ${outcome ?? ''}`),
        );
      }, reject);
    });
    streaming.catch(() => undefined);
    if (!answer) {
      throw new Error('The stream did not start');
    }
    return { prompt, answer, streaming };
  };

  /** Injects a fault into a running stream; returns the epochs that computed the stream. */
  const runWithFault = async (
    makeFault: (route: readonly string[]) => Fault,
    maxTokens = shortAnswer,
  ): Promise<Set<number>> => {
    const { prompt, answer, streaming } = startStream(maxTokens);
    await streaming;
    const fault = makeFault(await listRouteServers());
    await fault.begin(fleet);
    const seen = await answer;
    await fault.end(fleet);
    const call: CallRecord = {
      kind: 'model',
      callId: prompt,
      prompt,
      maxTokens,
      answer: seen,
    };
    const history = await readHistory(fleet, [call]);
    expect(checkHistory(history)).toEqual([]);
    expect(seen.outcome).toBe('complete');
    const own = history.passes.filter(
      pass => pass.requestId === seen.requestId,
    );
    return new Set(own.map(pass => pass.epoch));
  };

  it.each<[string, (route: readonly string[]) => Fault]>([
    ['the first stage is killed', ([first]) => new KilledAgent(first ?? '')],
    ['the last stage is killed', ([, last]) => new KilledAgent(last ?? '')],
    [
      'the last stage is frozen',
      ([, last]) => new FrozenProcess(`agent-${last ?? ''}`),
    ],
    [
      'an engine is frozen',
      ([, last]) => new FrozenProcess(`engine-${last ?? ''}`),
    ],
    [
      'the connection between stages falls silent',
      ([, last]) => new SilentLink(`agent-${last ?? ''}`, bothDirections),
    ],
    [
      'the first stage cannot be reached',
      ([first]) => new ClosedLink(`agent-${first ?? ''}`),
    ],
  ])('continues under a higher epoch when %s', async (_, makeFault) => {
    const epochs = await runWithFault(makeFault);
    expect(epochs.size).toBeGreaterThan(1);
  });

  it.each<[string, (route: readonly string[]) => Fault]>([
    ['is cut', ([first]) => new CutLink(`agent-${first ?? ''}`)],
    [
      'falls silent towards the agent',
      ([first]) => new SilentLink(`agent-${first ?? ''}`, [Direction.Forward]),
    ],
    [
      'falls silent towards the entry',
      ([first]) => new SilentLink(`agent-${first ?? ''}`, [Direction.Backward]),
    ],
  ])('runs once when the connection of its entry %s', async (_, makeFault) => {
    const epochs = await runWithFault(makeFault, longAnswer);
    expect(epochs.size).toBe(1);
  });

  it('that ends before a fault is reported at once', async () => {
    const { streaming } = startStream(faultAtToken / 2);
    await expect(streaming).rejects.toThrow(/before the fault: complete/);
  });

  it('is cancelled at every stage when its caller disconnects', async () => {
    const leaving = new AbortController();
    const { answer, streaming } = startStream(shortAnswer, {
      signal: leaving.signal,
    });
    const broken = answer.catch(() => undefined);
    await streaming;
    leaving.abort();
    await broken;
    await waitUntil('no engine holds a sequence', async () => {
      const loads = await Promise.all(
        [...fleet.backendUrls.values()].map(url => fleet.get(`${url}/v1/load`)),
      );
      return loads.every(
        load => (load as { sequences: number }).sequences === 0,
      );
    });
    const own = (await readPasses()).flatMap(server => server.passes);
    const last = own.toSorted((a, b) => a.at - b.at).at(-1);
    expect(last?.position).toBeLessThan(shortAnswer);
  });
});
