/** A planned stop cuts nothing in flight and takes nothing new. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  RouterFleet,
  computeExpectedText,
  defaultFleetOptions,
  streamCompletion,
  waitUntil,
} from '@lycheetally/testkit';

const tokens = 60;
const options = {
  ...defaultFleetOptions,
  stages: 1,
  plainServers: 0,
  stepMs: 5,
};

describe('a graceful stop', () => {
  let fleet: RouterFleet;

  beforeEach(async () => {
    fleet = new RouterFleet(options);
    await fleet.start();
  });
  afterEach(() => fleet.dispose());

  const startStream = async (): Promise<
    ReturnType<typeof streamCompletion>
  > => {
    const pending = streamCompletion(fleet.entryUrls[0] ?? '', 'stop', tokens);
    const operators =
      fleet.processes.getProcess('entry-0').addresses.operators ?? '';
    await waitUntil('the request is open', async () => {
      const status = (await fleet.get(
        `http://${operators}/v1/admin/status`,
      )) as {
        tokens: { delivered: number };
      };
      return status.tokens.delivered > 0;
    });
    return pending;
  };

  it.each(['entry-0', 'agent-stage0-0'])(
    'of %s ends the stream whole',
    async name => {
      const pending = startStream();
      await waitUntil('the stream runs', async () => {
        const process = fleet.processes.getProcess('agent-stage0-0');
        const operators = process.addresses.operators ?? '';
        const status = (await fleet.get(
          `http://${operators}/v1/admin/status`,
        )) as { work: number };
        return status.work > 0;
      });
      fleet.processes.sendSignal(name, 'SIGTERM');
      const answer = await pending;
      expect(answer.outcome).toBe('complete');
      expect(answer.text).toBe(
        computeExpectedText('stop', tokens, options.layers),
      );
      expect(await fleet.processes.getProcess(name).exited).toBe(0);
    },
  );
});
