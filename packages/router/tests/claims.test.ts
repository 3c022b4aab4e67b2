/**
 * Calls with an idempotency key over separate processes. Guards against a key
 * that runs twice and against a repeat that gets another answer than the first
 * call, also when append answers are lost or an entry, an agent or the log fails.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  RouterFleet,
  callService,
  defaultFleetOptions,
  fleetNames,
  waitUntil,
  type CallerAnswer,
} from '@lycheetally/testkit';

interface Runs {
  runs: { requestId: string; body: { name: string } }[];
}

const { booking } = fleetNames;
// Long enough to kill a process during a call on a busy machine.
const plainMs = 1_000;

describe('claims over processes', () => {
  const fleet = new RouterFleet({
    ...defaultFleetOptions,
    entries: 2,
    stages: 1,
    plainServers: 2,
    plainMs,
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.dispose());

  const call = (
    entry: number,
    key: string,
    name = key,
  ): Promise<CallerAnswer> =>
    callService(
      fleet.entryUrls[entry] ?? '',
      booking,
      '/reserve',
      { name },
      { idempotencyKey: key, deadlineMs: 20_000 },
    );

  const listRuns = async (name: string): Promise<Runs['runs']> => {
    const servers = [...fleet.backendUrls].filter(([server]) =>
      server.startsWith(booking),
    );
    const all = await Promise.all(
      servers.map(async ([, url]) => (await fleet.get(`${url}/runs`)) as Runs),
    );
    return all
      .flatMap(({ runs }) => runs)
      .filter(run => run.body.name === name);
  };

  it('runs concurrent repeats over two entries once and answers them alike', async () => {
    const answers = await Promise.all(
      Array.from({ length: 8 }, (_, index) => call(index % 2, 'concurrent')),
    );
    expect(new Set(answers.map(answer => answer.outcome))).toEqual(
      new Set(['complete']),
    );
    expect(
      new Set(answers.map(answer => JSON.stringify(answer.body))).size,
    ).toBe(1);
    expect(await listRuns('concurrent')).toHaveLength(1);
  });

  it('answers a later repeat through the other entry with the first answer', async () => {
    const first = await call(0, 'later');
    const repeat = await call(1, 'later');
    expect(repeat).toMatchObject({ status: 200, outcome: 'complete' });
    expect(repeat.body).toEqual(first.body);
    expect(await listRuns('later')).toHaveLength(1);
  });

  it('refuses a key with another body as not run', async () => {
    await call(0, 'reused', 'reused-first');
    const other = await call(1, 'reused', 'reused-second');
    expect(other).toMatchObject({ status: 409, outcome: 'not-run' });
    expect(await listRuns('reused-second')).toEqual([]);
  });

  it('refuses a key whose timestamp is older than the window', async () => {
    const answer = await call(0, '01890a5d-ac96-774b-bcce-b302099a8057');
    expect(answer).toMatchObject({ status: 409, outcome: 'not-run' });
  });

  it('resolves lost append responses by reading the log back', async () => {
    await fleet.setLogFaults({ loseAnswers: 3 });
    const answers = await Promise.all([
      call(0, 'lost-answer'),
      call(1, 'lost-answer'),
      call(0, 'lost-too'),
    ]);
    await fleet.setLogFaults({ loseAnswers: 0 });
    expect(answers.map(answer => answer.outcome)).toEqual([
      'complete',
      'complete',
      'complete',
    ]);
    expect(await listRuns('lost-answer')).toHaveLength(1);
    expect(await listRuns('lost-too')).toHaveLength(1);
  });

  it('refuses keyed calls as not run while the log is down, and serves the rest', async () => {
    await fleet.setLogFaults({ outage: true });
    const refused = await call(0, 'outage');
    const again = await call(0, 'outage');
    const stock = await callService(
      fleet.entryUrls[0] ?? '',
      fleetNames.stock,
      '/level',
      { name: 'stock' },
    );
    await fleet.setLogFaults({ outage: false });
    expect(refused).toMatchObject({ status: 503, outcome: 'not-run' });
    expect(again).toMatchObject({ status: 503, outcome: 'not-run' });
    expect(stock.outcome).toBe('complete');
    expect(await listRuns('outage')).toEqual([]);
    await waitUntil('the key can be used', async () => {
      const answer = await call(0, 'outage');
      return answer.outcome === 'complete';
    });
    expect(await listRuns('outage')).toHaveLength(1);
  });

  it('reports the true outcome through the other entry after an entry was killed', async () => {
    const cut = call(0, 'entry-death').catch(() => undefined);
    await waitUntil(
      'the booking runs',
      async () => (await listRuns('entry-death')).length === 1,
    );
    fleet.processes.sendSignal('entry-0', 'SIGKILL');
    const repeat = await call(1, 'entry-death');
    await cut;
    expect(repeat).toMatchObject({ status: 200, outcome: 'complete' });
    expect(await listRuns('entry-death')).toHaveLength(1);
  });

  it('reports every repeat as unknown after the agents were killed before the end', async () => {
    const first = call(1, 'agent-death');
    await waitUntil(
      'the booking runs',
      async () => (await listRuns('agent-death')).length === 1,
    );
    for (const index of [0, 1]) {
      fleet.processes.sendSignal(
        `agent-${booking}-${String(index)}`,
        'SIGKILL',
      );
    }
    expect((await first).outcome).toBe('unknown');
    expect((await call(1, 'agent-death')).outcome).toBe('unknown');
    expect(await listRuns('agent-death')).toHaveLength(1);
  });
});
