/**
 * A graceful stop lets open work finish. Work that is cancelled at the drain
 * limit is reported to its caller.
 */
import { request, type IncomingMessage } from 'node:http';
import { text } from 'node:stream/consumers';
import { setTimeout as wait } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import {
  RouterFleet,
  computeExpectedText,
  defaultFleetOptions,
  fleetNames,
  getAccountKey,
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
    'of %s is disturbed neither by SIGHUP nor by a second SIGTERM',
    async name => {
      await startFleet(60);
      const { pending } = await startStream(tokens);
      for (const signal of [
        'SIGHUP',
        'SIGTERM',
        'SIGHUP',
        'SIGTERM',
      ] as const) {
        fleet.processes.sendSignal(name, signal);
        await wait(signalPauseMs);
      }
      expect((await pending).outcome).toBe('complete');
      const { exited, lines } = fleet.processes.getProcess(name);
      expect(await exited).toBe(0);
      expect(lines.join('\n')).toContain('SIGHUP');
    },
  );

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

  it('refuses a call whose body ends after the signal', async () => {
    await startFleet(60);
    const { pending } = await startStream(tokens);
    const upload = startUpload(fleet.entryUrls[0] ?? '');
    await waitUntil('the head has arrived', () => upload.isSent());
    fleet.processes.sendSignal('entry-0', 'SIGTERM');
    await waitUntil('the entry is leaving', async () => {
      return !(await fleet.readStatus('entry-0')).ready;
    });
    const late = await upload.end();
    expect(late.status).toBe(503);
    expect(late.outcome).toBe('not-run');
    expect((await pending).outcome).toBe('complete');
  });

  it('of an entry sends the whole answer to a caller that reads slowly', async () => {
    const entrySections = { limits: { maxBodyBytes: 2 * largeBytes } };
    fleet = new RouterFleet({ ...options, plainServers: 1, entrySections });
    await fleet.start();
    const sent = JSON.stringify('x'.repeat(largeBytes));
    const answer = await callEcho(fleet.entryUrls[0] ?? '', sent);
    await waitUntil('the request has ended', async () => {
      return (await fleet.readStatus('entry-0')).openRequests === 0;
    });
    fleet.processes.sendSignal('entry-0', 'SIGTERM');
    await wait(slowReaderMs);
    const received = await text(answer).catch(() => '');
    expect(received.includes(sent)).toBe(true);
    expect(await fleet.processes.getProcess('entry-0').exited).toBe(0);
  });
});

/** More than the buffers of a connection hold, in bytes. */
const largeBytes = 7 * 1_024 * 1_024;

/** Pause after which a process has handled a signal, in milliseconds. */
const signalPauseMs = 100;

/** Longer than a process takes to exit without open work, in milliseconds. */
const slowReaderMs = 1_000;

/** Calls a service that sends the body back; returns the answer before its body is read. */
const callEcho = (entryUrl: string, body: string): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    const outgoing = request(`${entryUrl}/v1/services/${fleetNames.stock}/`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${getAccountKey(fleetNames.accounts[0])}`,
        'content-type': 'application/json',
        'x-lycheetally-rank': fleetNames.ranks[0],
      },
    });
    outgoing.on('error', reject);
    outgoing.on('response', resolve);
    outgoing.end(body);
  });

interface Upload {
  /** Whether the connection has taken the head and a part of the body. */
  isSent(): boolean;
  /** Sends the rest of the body; resolves when the response has ended. */
  end(): Promise<{ status: number; outcome: unknown; body: string }>;
}

/** Sends a call for a completion without the end of its body. */
const startUpload = (entryUrl: string): Upload => {
  const body = JSON.stringify({
    model: fleetNames.model,
    prompt: 'late',
    max_tokens: 1,
  });
  const outgoing = request(`${entryUrl}/v1/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${getAccountKey(fleetNames.accounts[0])}`,
      'content-length': body.length,
      'x-lycheetally-rank': fleetNames.ranks[0],
    },
  });
  let isSent = false;
  outgoing.write(body.slice(0, 1), () => {
    isSent = true;
  });
  return {
    isSent: () => isSent,
    end: () =>
      new Promise((resolve, reject) => {
        outgoing.on('error', reject);
        outgoing.on('response', incoming => {
          void text(incoming).then(answer => {
            const outcome = incoming.headers['x-lycheetally-outcome'];
            const status = incoming.statusCode ?? 0;
            resolve({ status, outcome, body: answer });
          });
        });
        outgoing.end(body.slice(1));
      }),
  };
};
