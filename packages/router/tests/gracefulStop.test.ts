/**
 * A graceful stop lets open work finish. Work that is cancelled at the drain
 * limit is reported to its caller.
 */
import { afterEach, describe, expect, it } from 'vitest';
import {
  RouterFleet,
  computeExpectedText,
  defaultFleetOptions,
  streamCompletion,
  waitUntil,
  type CallerAnswer,
} from '@lycheetally/testkit';

const tokens = 300;
const endlessTokens = 20_000;
/** Short, since a request without a route waits for one until its deadline. */
const deadlineMs = 6_000;
const options = {
  ...defaultFleetOptions,
  stages: 1,
  plainServers: 0,
  stepMs: 5,
};
const names = ['entry-0', 'agent-stage0-0'];

describe('a graceful stop', () => {
  let fleet: RouterFleet;

  afterEach(() => fleet.dispose());

  const startFleet = async (drainSeconds: number): Promise<void> => {
    fleet = new RouterFleet({ ...options, drainSeconds });
    await fleet.start();
  };

  /** Starts a stream and waits for its first token. */
  const startStream = async (
    maxTokens: number,
    deadlineMs = 60_000,
  ): Promise<{ pending: Promise<CallerAnswer> }> => {
    const entry = fleet.entryUrls[0] ?? '';
    const pending = streamCompletion(entry, 'stop', maxTokens, {
      deadlineMs,
    });
    await waitUntil('tokens flow', async () => {
      const status = await fleet.readStatus('entry-0');
      return status.tokens.delivered > 0;
    });
    return { pending };
  };

  it.each(names)('of %s lets the stream complete', async name => {
    await startFleet(60);
    const { pending } = await startStream(tokens);
    fleet.processes.sendSignal(name, 'SIGTERM');
    const answer = await pending;
    expect(answer.outcome).toBe('complete');
    expect(answer.text).toBe(
      computeExpectedText('stop', tokens, options.layers),
    );
    expect(await fleet.processes.getProcess(name).exited).toBe(0);
  });

  it.each(names)(
    'of %s fails the stream that exceeds the drain limit',
    async name => {
      await startFleet(1);
      const { pending } = await startStream(endlessTokens, deadlineMs);
      fleet.processes.sendSignal(name, 'SIGTERM');
      const answer = await pending;
      expect(answer.isDone).toBe(false);
      expect(answer.outcome).toBe('failed');
      const { exited, lines } = fleet.processes.getProcess(name);
      expect(await exited).toBe(0);
      expect(lines.join('\n')).toContain('The drain timeout is reached');
    },
  );

  it('refuses new requests while the open one continues', async () => {
    await startFleet(60);
    const { pending } = await startStream(tokens);
    fleet.processes.sendSignal('agent-stage0-0', 'SIGTERM');
    await waitUntil('the agent is leaving', async () => {
      return !(await fleet.readStatus('agent-stage0-0')).ready;
    });
    const late = await streamCompletion(fleet.entryUrls[0] ?? '', 'late', 1);
    expect(late.outcome).toBe('not-run');
    expect((await pending).outcome).toBe('complete');
  });
});
