/** A stand-in that receives SIGTERM finishes its open call before it exits. */
import { afterEach, describe, expect, it } from 'vitest';
import { requestJson } from '@lycheetally/router';
import { ProcessFleet } from '../src/index.js';

const fleet = new ProcessFleet();
afterEach(() => fleet.dispose());

describe('a stand-in', () => {
  it('answers its open call after SIGTERM and then exits', async () => {
    const address = await fleet.startStandIn('service', 'plain-service', {
      workMs: 3_000,
    });
    const url = `http://${address}`;
    const pending = requestJson({
      method: 'POST',
      url: `${url}/work`,
      body: {},
      timeoutMs: 30_000,
    });
    let runs = 0;
    while (runs === 0) {
      const read = await requestJson({
        method: 'GET',
        url: `${url}/runs`,
        timeoutMs: 5_000,
      });
      runs = (read.unwrap().body as { runs: unknown[] }).runs.length;
    }
    fleet.sendSignal('service', 'SIGTERM');
    expect((await pending).unwrap().status).toBe(200);
    expect(await fleet.getProcess('service').exited).toBe(0);
  });
});
