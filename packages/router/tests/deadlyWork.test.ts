/** A work item that kills each backend server that begins to run it. */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  RouterFleet,
  callService,
  defaultFleetOptions,
  fleetNames,
  waitFor,
} from '@lycheetally/testkit';

const servers = 3;
const pollMs = 20;

describe('a work item that kills its servers', () => {
  const fleet = new RouterFleet({
    ...defaultFleetOptions,
    stages: 1,
    plainServers: servers,
    plainMs: 1_000,
  });

  beforeAll(() => fleet.start());
  afterAll(() => fleet.dispose());

  const killIfRunning = async (server: string): Promise<boolean> => {
    const url = fleet.backendUrls.get(server) ?? '';
    const { runs } = (await fleet.get(`${url}/runs`)) as { runs: unknown[] };
    if (runs.length > 0) {
      fleet.processes.sendSignal(`service-${server}`, 'SIGKILL');
    }
    return runs.length > 0;
  };

  const living = new Set<string>();

  /** Sends the item, and kills each server that runs it until it is answered. */
  const sendDeadly = async (): Promise<number> => {
    const call = { hasEnded: false };
    const [entry = ''] = fleet.entryUrls;
    const answer = callService(entry, fleetNames.stock, '/count', {}).finally(
      () => {
        call.hasEnded = true;
      },
    );
    while (!call.hasEnded) {
      for (const server of [...living]) {
        if (await killIfRunning(server)) {
          living.delete(server);
        }
      }
      await waitFor(pollMs);
    }
    return (await answer).status;
  };

  // Guards against retries of one item that take a whole service down.
  it('leaves one of them alive', async () => {
    for (const name of fleet.backendUrls.keys()) {
      if (name.startsWith(fleetNames.stock)) {
        living.add(name);
      }
    }
    expect(living.size).toBe(servers);
    expect(await sendDeadly()).not.toBe(200);
    expect(living.size).toBeGreaterThan(0);
  });

  // Guards against a caller's own retries that take the last server down.
  it('leaves the last one alive when it comes again', async () => {
    expect(await sendDeadly()).toBe(503);
    expect(await sendDeadly()).toBe(503);
    expect(living.size).toBe(1);
  });
});
