/** End-to-end tests with separate processes: a chain of three stages and a booking. */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  RouterFleet,
  callService,
  computeExpectedText,
  defaultFleetOptions,
  fleetNames,
  streamCompletion,
  waitUntil,
} from '@lycheetally/testkit';

interface Passes {
  passes: {
    requestId: string;
    position: number;
    layerFrom: number;
    layerTo: number;
  }[];
}

const tokens = 20;
const { layers } = defaultFleetOptions;

describe('a fleet from end to end', () => {
  const fleet = new RouterFleet(defaultFleetOptions);
  const getEntry = (): string => fleet.entryUrls[0] ?? '';

  beforeAll(() => fleet.start());
  afterAll(() => fleet.dispose());

  it('streams a completion through three stages with the right checksum', async () => {
    const answer = await streamCompletion(getEntry(), 'one two three', tokens);
    expect(answer.outcome).toBe('complete');
    expect(answer.isDone).toBe(true);
    expect(answer.text).toBe(
      computeExpectedText('one two three', tokens, layers),
    );
  });

  it('passes every layer once for each position, in order', async () => {
    await streamCompletion(getEntry(), 'count the layers', tokens);
    const passes = await Promise.all(
      [0, 1, 2].map(async stage => {
        const url = fleet.backendUrls.get(`stage${String(stage)}-0`) ?? '';
        const { passes: all } = (await fleet.get(`${url}/runs`)) as Passes;
        const last = all.at(-1)?.requestId;
        return all.filter(pass => pass.requestId === last);
      }),
    );
    const positions = Array.from(
      { length: 3 + tokens - 1 },
      (_, index) => index,
    );
    for (const stagePasses of passes) {
      expect(stagePasses.map(pass => pass.position)).toEqual(positions);
    }
    expect(passes.map(list => [list[0]?.layerFrom, list[0]?.layerTo])).toEqual([
      [0, 4],
      [4, 8],
      [8, 12],
    ]);
  });

  it('sends each concurrent caller its own answer', async () => {
    const prompts = Array.from(
      { length: 12 },
      (_, index) => `caller ${String(index)}`,
    );
    const answers = await Promise.all(
      prompts.map(prompt => streamCompletion(getEntry(), prompt, tokens)),
    );
    expect(answers.map(answer => answer.text)).toEqual(
      prompts.map(prompt => computeExpectedText(prompt, tokens, layers)),
    );
  });

  it('runs a booking once', async () => {
    const { booking } = fleetNames;
    const answer = await callService(getEntry(), booking, '/reserve', {
      family: 1,
    });
    expect(answer).toMatchObject({ status: 200, outcome: 'complete' });
    const url = fleet.backendUrls.get(`${booking}-0`) ?? '';
    const { runs } = (await fleet.get(`${url}/runs`)) as { runs: unknown[] };
    expect(runs).toHaveLength(1);
  });

  it.each([
    ['an unknown key', { headers: { authorization: 'Bearer nobody' } }, 401],
    ['an unknown rank', { rank: 'nobody' }, 400],
    [
      'an impossible deadline',
      { headers: { 'x-lycheetally-deadline-ms': '-5' } },
      400,
    ],
  ])('refuses %s as not run', async (_, options, status) => {
    const answer = await streamCompletion(getEntry(), 'x', 1, options);
    expect(answer).toMatchObject({ status, outcome: 'not-run' });
  });

  it('refuses a body that is too large', async () => {
    const body = { text: 'x'.repeat(1_100_000) };
    const answer = await callService(getEntry(), fleetNames.stock, '/', body);
    expect(answer).toMatchObject({ status: 413, outcome: 'not-run' });
  });

  it('reports to the caller that a stage was killed during a stream', async () => {
    const countDelivered = async (): Promise<number> =>
      (await fleet.readStatus('entry-0')).tokens.delivered;
    const before = await countDelivered();
    const pending = streamCompletion(getEntry(), 'long', 400, {
      deadlineMs: 3_000,
    });
    await waitUntil('tokens of this request flow', async () => {
      return (await countDelivered()) > before;
    });
    fleet.processes.sendSignal('agent-stage2-0', 'SIGKILL');
    const answer = await pending;
    expect(answer.isDone).toBe(false);
    expect(['failed', 'unknown']).toContain(answer.outcome);
  });
});
