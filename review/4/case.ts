/** A gateway that is cut off from the store while the configuration changes often; afterwards a key that was taken away long before must not be used. */
import { TcpRelay } from '@lycheetally/testkit';
import { runCase, wait, waitUntil } from '../lib/case.js';
import { Client, clientKey } from '../lib/client.js';
import { createConfiguration } from '../lib/platform.js';
import { getRequestId, sendAnswer } from '../lib/worker.js';

/** Routes that no client uses here: 110 as in the site file, and 460 of a configuration that grew. */
const idleRoutes = 570;

/** `revoke_ms` of the settings. */
const revokeMs = 5_000;

/** How long the gateway is cut off from the store. */
const cutMs = 9_000;

const stormVersions = 12;
const stormIntervalMs = 330;

const clientCount = 8;
const takenKey = 'key-2';

await runCase(async run => {
  const ran = new Set<string>();
  for (const id of ['desk-1', 'desk-2']) {
    await run.startWorker({ id, service: 'desk' }, request => {
      ran.add(getRequestId(request));
      sendAnswer(request, '200 OK', Buffer.from('found'));
    });
  }
  let version = 7;
  /** Writes a new configuration; its return is the ack. */
  const putConfiguration = (keys: readonly string[]): void => {
    version += 2;
    run.store.put(
      'keyed.op',
      'config',
      createConfiguration({ version, keys, idleRoutes }),
    );
  };
  putConfiguration([clientKey, takenKey]);
  const relay = new TcpRelay(run.storeAddress);
  const gateway = await run.startGateway('edge-1', 2, await relay.listen());
  const sentAt = new Map<string, number>();
  let isOver = false;
  const statuses = new Map<number, number>();
  const sendInTurn = async (name: string): Promise<void> => {
    const client = new Client(gateway.port);
    for (let turn = 0; !isOver; turn += 1) {
      const id = `${name}-${String(turn)}`;
      sentAt.set(id, performance.now());
      const { status } = await client.send({
        id,
        path: '/look/x',
        method: 'GET',
        timeoutMs: 1_500,
        headers: { 'X-Key': takenKey },
      });
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
      await wait(10);
    }
    client.dispose();
  };
  const clients = Promise.all(
    Array.from({ length: clientCount }, (_, at) =>
      sendInTurn(`look-${String(at)}`),
    ),
  );
  await wait(2_000);
  const cutAt = performance.now();
  if (run.hasTrouble) {
    relay.setClosed(true);
    relay.cutConnections();
  }
  run.note(run.hasTrouble ? 'edge-1 is cut off from the store' : 'no cut');
  for (let each = 0; each < stormVersions; each += 1) {
    putConfiguration([clientKey, takenKey]);
    await wait(stormIntervalMs);
  }
  putConfiguration([clientKey]);
  const takenAt = performance.now();
  run.note(`${takenKey} is taken away by version ${String(version)}`);
  await wait(cutMs - (performance.now() - cutAt));
  relay.setClosed(false);
  run.note('the cut is over');
  await waitUntil(
    () => gateway.countLog(`"configuration":${String(version)}`) > 0,
    10_000,
  );
  await wait(1_000);
  isOver = true;
  await clients;
  relay.dispose();
  const late = [...sentAt].filter(
    ([id, at]) => ran.has(id) && at > takenAt + revokeMs,
  );
  run.note(
    `${String(sentAt.size)} requests with ${takenKey}; answers by status: ${JSON.stringify([...statuses])}; reads of the configuration that were answered in part: ${String(run.store.partialReads.get('keyed.op') ?? 0)}`,
  );
  run.note(
    `sent over ${String(revokeMs)} ms after the ack and run: ${String(late.length)}`,
  );
  for (const [id, at] of late) {
    run.note(
      `${id}: sent ${String(Math.round(at - takenAt))} ms after the ack that took its key away, and run`,
    );
  }
  return late.length === 0;
});
