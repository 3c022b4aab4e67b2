/** Callers that resume each stream that breaks off after the last event that they have. */
import { SeededRandom, waitFor } from '@lycheetally/testkit';
import { sendCall, type PlannedCall, type SoakLoad } from './soakCallers.js';
import { parseSoakEvents } from './soakEvents.js';
import { SoakKind, type SoakCall } from './types.js';

const callersPerGateway = 6;
const streamSteps: readonly number[] = [4, 20, 40];
const kinds: readonly SoakKind[] = [
  ...Array.from({ length: 4 }, () => SoakKind.Stream),
  SoakKind.Lookup,
  SoakKind.Booking,
];

/** Calls with which a stream is resumed at most. */
const maxResumes = 8;

/** Milliseconds after which a caller gives up on a call. */
const callTimeoutMs = 6_000;

/** Pause of a caller before it resumes a stream, and longest one between two calls, in milliseconds. */
const pauseMs = 50;

/** Pause of a caller after a call without an answer, in milliseconds. */
const retryMs = 300;

/** Runs callers at each gateway for `durationMs` and returns their calls. */
export const runStreamCallers = async (load: SoakLoad): Promise<SoakCall[]> => {
  const callers = load.ports.flatMap((_, gateway) =>
    Array.from({ length: callersPerGateway }, (_each, index) =>
      runStreamCaller(load, gateway, index),
    ),
  );
  return (await Promise.all(callers)).flat();
};

const runStreamCaller = async (
  load: SoakLoad,
  gateway: number,
  index: number,
): Promise<SoakCall[]> => {
  const caller = gateway * callersPerGateway + index;
  const random = new SeededRandom(load.seed * 1_000 + caller);
  const endsAt = Date.now() + load.durationMs;
  const calls: SoakCall[] = [];
  while (Date.now() < endsAt) {
    const kind = random.pickOne(kinds);
    const planned = {
      requestId: `${String(load.seed)}-${String(caller)}-${String(calls.length)}`,
      kind,
      steps: random.pickOne(streamSteps),
      timeoutMs: callTimeoutMs,
      key: random.pickOne(load.keys),
      port: load.ports[gateway] ?? 0,
      agent: undefined,
      startedAt: load.startedAt,
    };
    calls.push(
      ...(kind === SoakKind.Stream
        ? await readStream(planned)
        : [await sendCall(planned)]),
    );
    const isServed = calls.at(-1)?.status === 200;
    await waitFor(isServed ? random.pickInteger(pauseMs) : retryMs);
  }
  return calls;
};

const readStream = async (planned: PlannedCall): Promise<SoakCall[]> => {
  const streamId = planned.requestId;
  const parts: SoakCall[] = [];
  let afterEvent = 0;
  while (parts.length <= maxResumes) {
    const part = await sendCall({
      ...planned,
      requestId: `${streamId}-${String(parts.length)}`,
      resumed: { streamId, afterEvent },
    });
    parts.push(part);
    if (part.status === 200 && part.isComplete) {
      break;
    }
    afterEvent = findLastEvent(part);
    await waitFor(part.status === 200 ? pauseMs : retryMs);
  }
  return parts;
};

/** Returns the last event that the caller has after the call. */
const findLastEvent = ({
  requestId,
  answer,
  status,
  afterEvent,
}: SoakCall): number =>
  status === 200
    ? (parseSoakEvents(requestId, answer).events.at(-1)?.eventId ?? afterEvent)
    : afterEvent;
