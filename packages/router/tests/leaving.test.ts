/** Leaving, joining and draining over real processes under load. */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  RouterFleet,
  callService,
  defaultFleetOptions,
  fleetNames,
  waitUntil,
  type CallerAnswer,
} from '@lycheetally/testkit';
import { requestJson } from '../src/index.js';

const options = {
  ...defaultFleetOptions,
  entries: 2,
  stages: 0,
  plainServers: 2,
  plainMs: 20,
};
const leavingTimeoutMs = 2_000;

interface Event {
  readonly kind: string;
  readonly stamp: number;
}

describe('a fleet with changing membership', () => {
  const fleet = new RouterFleet(options);
  const server = `${fleetNames.stock}-0`;
  const agent = `agent-${server}`;

  beforeAll(() => fleet.start());
  afterAll(() => fleet.dispose());

  const getOperators = (name: string): string =>
    fleet.processes.getProcess(name).addresses.operators ?? '';

  const listEvents = async (name: string): Promise<Event[]> => {
    const url = `http://${getOperators(name)}/v1/admin/events`;
    return ((await fleet.get(url)) as { events: Event[] }).events;
  };

  const sendCalls = (count: number): Promise<CallerAnswer[]> =>
    Promise.all(
      Array.from({ length: count }, (_, index) =>
        callService(
          fleet.entryUrls[index % fleet.entryUrls.length] ?? '',
          fleetNames.stock,
          '/count',
          { index },
        ),
      ),
    );

  /** Sends calls until the check holds, then a few more; returns all answers. */
  const sendCallsUntil = async (
    check: () => Promise<boolean>,
  ): Promise<CallerAnswer[]> => {
    const answers: CallerAnswer[] = [];
    await waitUntil('the condition holds under load', async () => {
      answers.push(...(await sendCalls(8)));
      return check();
    });
    return [...answers, ...(await sendCalls(16))];
  };

  const setVmState = (state: 'live' | 'leaving'): Promise<void> =>
    fleet.updateVmList({
      put: [
        {
          vmId: server,
          agentAddress: fleet.processes.getProcess(agent).addresses.peers ?? '',
          failureDomain: 'bc-south-a',
          state,
        },
      ],
    });

  it('gives no work to a leaving VM, even when the VM list reverts its state', async () => {
    await setVmState('leaving');
    const hasLeft = async (): Promise<boolean> =>
      (await listEvents(agent)).some(({ kind }) => kind === 'agent-leaving');
    const first = await sendCallsUntil(hasLeft);
    await setVmState('live');
    const until = Date.now() + leavingTimeoutMs;
    const second = await sendCallsUntil(() =>
      Promise.resolve(Date.now() > until),
    );
    const events = await listEvents(agent);
    const left = events.findIndex(({ kind }) => kind === 'agent-leaving');
    const later = events
      .slice(left)
      .filter(({ kind }) => kind === 'work-accepted');
    expect(later).toEqual([]);
    expect([...first, ...second].map(each => each.outcome)).not.toContain(
      'unknown',
    );
    expect(second.every(each => each.outcome === 'complete')).toBe(true);
  });

  it('connects to an agent that is not on the VM list', async () => {
    await fleet.startEntry('entry-joined', {
      listen: {
        callers: '127.0.0.1:0',
        operators: '127.0.0.1:0',
        peers: '127.0.0.1:0',
      },
    });
    const { addresses } = fleet.processes.getProcess('entry-joined');
    const joined = await fleet.startUnlistedAgent(fleetNames.stock, {
      known: addresses.peers ?? '',
    });
    await waitUntil('the entry knows the agent', async () => {
      const { members } = (await fleet.getStatus('entry-joined')) as {
        members: { server: string; connected: boolean }[];
      };
      return members.some(each => each.server === joined && each.connected);
    });
  });

  it('completes the open calls of an entry that an operator drains', async () => {
    const name = 'entry-1';
    const url = fleet.entryUrls[1] ?? '';
    const calls = Array.from({ length: 8 }, () =>
      callService(url, fleetNames.booking, '/reserve', { family: 1 }),
    );
    await waitUntil('the calls are open', async () => {
      const { openRequests } = await fleet.getStatus(name);
      return Number(openRequests) === calls.length;
    }).catch(() => undefined);
    const drained = await requestJson({
      method: 'POST',
      url: `http://${getOperators(name)}/v1/admin/drain`,
      timeoutMs: leavingTimeoutMs,
    });
    expect(drained.ok && drained.val.status).toBe(202);
    const answers = await Promise.all(calls);
    expect(answers.map(each => each.outcome)).toEqual(
      calls.map(() => 'complete'),
    );
    expect(await fleet.processes.getProcess(name).exited).toBe(0);
  });
});
