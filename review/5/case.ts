/** An answer whose body comes without end, in small chunks; the gateway is to survive it. */
import { runCase, wait } from '../lib/case.js';
import { KeptRequests } from '../lib/keptRequests.js';
import { modelLayers } from '../lib/platform.js';
import {
  formatHead,
  getRequestId,
  streamEvents,
  type WorkerRequest,
} from '../lib/worker.js';

const clientCount = 20;

/** Time until the first event of a sound answer. */
const firstEventMs = 1_500;

/** More lost requests than these break the rule LOST. */
const allowedLosses = 3;

/** The route's `timeout_ms`, and the client's deadline. */
const deadlineMs = 20_000;

/** A chunk of one byte, and what the faulty worker sends each time: about 150,000 chunks, or 0.9 MB, a second. */
const chunk = Buffer.from('1\r\nx\r\n');
const block = Buffer.concat(Array.from({ length: 1_500 }, () => chunk));
const blockIntervalMs = 10;

const formatErrorHead = (request: WorkerRequest): Buffer =>
  formatHead(request, '500 Internal Server Error', [
    'Transfer-Encoding: chunked',
  ]);

/** Sends chunks of one byte until the caller closes. */
const sendWithoutEnd = (request: WorkerRequest): void => {
  const { socket } = request;
  socket.write(formatErrorHead(request));
  const timer = setInterval(() => {
    if (socket.destroyed) {
      clearInterval(timer);
    } else if (!socket.writableNeedDrain) {
      socket.write(block);
    }
  }, blockIntervalMs);
};

await runCase(async run => {
  const asks = new KeptRequests({
    name: 'ask',
    path: '/ask/x',
    timeoutMs: deadlineMs,
  });
  let isDue = false;
  const serve = (request: WorkerRequest, isFaulty: boolean): void => {
    if (isFaulty && isDue) {
      isDue = false;
      run.note(`${getRequestId(request)}: chat-1 begins an error answer`);
      if (run.hasTrouble) {
        sendWithoutEnd(request);
      } else {
        const end = Buffer.from('0\r\n\r\n');
        request.socket.write(
          Buffer.concat([formatErrorHead(request), chunk, end]),
        );
      }
      return;
    }
    asks.noteRun(request);
    setTimeout(() => {
      streamEvents(request, 3, 20);
    }, firstEventMs);
  };
  for (const id of ['chat-1', 'chat-2']) {
    await run.startWorker(
      { id, service: 'chat', layers: modelLayers },
      request => {
        serve(request, id === 'chat-1');
      },
    );
  }
  const gateway = await run.startGateway('edge-1', 2);
  asks.start(gateway, clientCount, 1);
  await wait(3_000);
  isDue = true;
  const endsAt = performance.now() + deadlineMs;
  while (gateway.end === undefined && performance.now() < endsAt) {
    await wait(100);
  }
  await asks.stop();
  run.note(`the gateway: ${gateway.end ?? 'runs'}`);
  asks.note(run);
  return asks.listLost().length <= allowedLosses;
});
