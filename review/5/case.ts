/** One spoilt byte in the heads of plain answers; each request is to be answered by its route's time-out. */
import { runCase } from '../lib/case.js';
import { Client, type ClientAnswer } from '../lib/client.js';
import { sendAnswer, type WorkerRequest } from '../lib/worker.js';

/** One in so many answers of the faulty worker is spoilt: x = 0.02. */
const answersPerSpoilt = 50;

const clientCount = 12;
const disruptionMs = 5_000;

/** The route's `timeout_ms`, and the time after it in which an answer is due. */
const routeTimeoutMs = 800;
const allowedDelayMs = 500;

const sendSpoilt = (request: WorkerRequest): void => {
  sendAnswer(request, '200 O\x01K', Buffer.from('found'));
};

await runCase(async run => {
  let answered = 0;
  let spoilt = 0;
  const serve = (request: WorkerRequest, isFaulty: boolean): void => {
    answered += isFaulty ? 1 : 0;
    const isSpoilt =
      run.hasTrouble && isFaulty && answered % answersPerSpoilt === 0;
    spoilt += isSpoilt ? 1 : 0;
    setTimeout(() => {
      if (isSpoilt) {
        sendSpoilt(request);
      } else {
        sendAnswer(request, '200 OK', Buffer.from('found'));
      }
    }, 20);
  };
  for (const id of ['desk-1', 'desk-2', 'desk-3']) {
    await run.startWorker({ id, service: 'desk' }, request => {
      serve(request, id === 'desk-1');
    });
  }
  const gateway = await run.startGateway('edge-1', 3);
  const answers: ClientAnswer[] = [];
  const endsAt = performance.now() + disruptionMs;
  const sendInTurn = async (name: string): Promise<void> => {
    for (let turn = 0; performance.now() < endsAt; turn += 1) {
      const client = new Client(gateway.port);
      const id = `${name}-${String(turn)}`;
      answers.push(
        await client.send({
          id,
          path: '/look/x',
          method: 'GET',
          timeoutMs: 1_500,
        }),
      );
      client.dispose();
    }
  };
  await Promise.all(
    Array.from({ length: clientCount }, (_, at) =>
      sendInTurn(`look-${String(at)}`),
    ),
  );
  const late = answers.filter(({ afterMs }) => afterMs > routeTimeoutMs);
  const unanswered = late.filter(
    ({ afterMs }) => afterMs > routeTimeoutMs + allowedDelayMs,
  );
  run.note(
    `${String(answers.length)} requests; answers of desk-1: ${String(answered)}, spoilt: ${String(spoilt)}`,
  );
  run.note(
    `unanswered at the route's time-out: ${String(late.length)}; half a second later: ${String(unanswered.length)}; handlers that failed: ${String(gateway.countLog('A handler of the loop failed'))}`,
  );
  for (const { id, afterMs, fault } of unanswered) {
    run.note(`${id}: ${fault}, waited ${String(afterMs)} ms`);
  }
  return unanswered.length < 8 || unanswered.length * 2 <= late.length;
});
