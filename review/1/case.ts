/** One spoilt byte in the head of a stream's answer; the gateway is to survive it. */
import { runCase, wait, waitUntil } from '../lib/case.js';
import { Client } from '../lib/client.js';
import { KeptRequests } from '../lib/keptRequests.js';
import { modelLayers } from '../lib/platform.js';
import { sendAnswer, streamEvents } from '../lib/worker.js';

/** One in so many answers of the faulty worker is spoilt: x = 0.02. */
const answersPerSpoilt = 50;

const rounds = 3;
const bookingClients = 10;
const streamClients = 12;

/** How long a booking runs. */
const bookingMs = 300;

/** More lost requests than these break the rule LOST. */
const allowedLosses = 3;

/** Puts a blank in place of one hyphen of a header's name. */
const replaceHyphen = (head: string): string =>
  head.replace('X-Weight-Versions', 'X-Weight Versions');

await runCase(async run => {
  const bookings = new KeptRequests({
    name: 'book',
    path: '/book/slot',
    timeoutMs: 1_500,
    body: Buffer.from('{"bundle":1}'),
  });
  let streams = 0;
  let spoilt = 0;
  await run.startWorker({ id: 'desk-1', service: 'desk' }, request => {
    bookings.noteRun(request);
    setTimeout(() => {
      sendAnswer(request, '200 OK', Buffer.from('booked'));
    }, bookingMs);
  });
  await run.startWorker(
    { id: 'chat-1', service: 'chat', layers: modelLayers },
    request => {
      streams += 1;
      if (run.hasTrouble && streams % answersPerSpoilt === 0) {
        spoilt += 1;
        run.note(`chat-1 spoils one byte of its answer ${String(streams)}`);
        streamEvents(request, 5, 20, replaceHyphen);
      } else {
        streamEvents(request, 5, 20);
      }
    },
  );
  for (const id of ['chat-2', 'chat-3']) {
    await run.startWorker(
      { id, service: 'chat', layers: modelLayers },
      request => {
        streamEvents(request, 5, 20);
      },
    );
  }
  const gateway = await run.startGateway('edge-1', 4);
  let ends = 0;
  for (let round = 1; round <= rounds; round += 1) {
    bookings.start(gateway, bookingClients, round);
    const endsAt = performance.now() + 6_000;
    const isOver = (): boolean =>
      gateway.end !== undefined || performance.now() > endsAt;
    const sendStreams = async (name: string): Promise<void> => {
      const client = new Client(gateway.port);
      for (let turn = 0; !isOver(); turn += 1) {
        const id = `${name}-${String(turn)}`;
        await client.send({ id, path: '/ask/x', timeoutMs: 5_000 });
      }
      client.dispose();
    };
    await Promise.all(
      Array.from({ length: streamClients }, (_, at) =>
        sendStreams(`ask-${String(round)}-${String(at)}`),
      ),
    );
    await bookings.stop();
    if (gateway.end !== undefined) {
      ends += 1;
      run.note(`the gateway ended by itself: ${gateway.end}`);
      const joined = gateway.countLog('A server joined.');
      gateway.start();
      await waitUntil(
        () => gateway.countLog('A server joined.') >= joined + 4,
        15_000,
      );
      await wait(500);
    }
  }
  run.note(
    `streams at chat-1: ${String(streams)}, spoilt: ${String(spoilt)}; the gateway ended by itself ${String(ends)} times`,
  );
  bookings.note(run);
  return bookings.listLost().length <= allowedLosses;
});
