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

  // Guards against retries of one item that take a whole service down.
  it('leaves one of them alive', async () => {
    const living = new Set(
      [...fleet.backendUrls.keys()].filter(name =>
        name.startsWith(fleetNames.stock),
      ),
    );
    expect(living.size).toBe(servers);
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
    expect((await answer).status).not.toBe(200);
    expect(living.size).toBeGreaterThan(0);
  });
});
