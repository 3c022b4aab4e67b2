/**
 * Checks streams by the runs that wrote their events.
 *
 * A caller has the events 1 to n, each once, over its own resumes too; each run follows the one
 * before it and never returns, the head is that of the run of the first event, and the end comes
 * after the last event only.
 */
import { collectBy, listViolations } from './violations.js';
import { isEventStart, parseSoakEvents, type SoakEvent } from './soakEvents.js';
import {
  SoakKind,
  type GuaranteeViolation,
  type SoakCall,
  type SoakRun,
} from './types.js';

/** Checks what one call of a stream got. */
export const checkStream = (
  call: SoakCall,
  runs: readonly SoakRun[],
): GuaranteeViolation[] => {
  const { requestId, answer, signature, steps, afterEvent } = call;
  const { events, rest, isReadable } = parseSoakEvents(requestId, answer);
  const nextEvent = afterEvent + events.length + 1;
  const [first] = events;
  return listViolations(requestId, {
    'a stream has no gap and no repeat':
      isReadable &&
      nextEvent <= steps + 1 &&
      events.every(({ eventId }, at) => eventId === afterEvent + at + 1) &&
      isEventStart(rest, requestId, nextEvent),
    'a stream has the events of its runs, one run after the other':
      isOneRunAfterTheOther(events, runs),
    'the head of a stream is that of the run of its first event': first
      ? first.mark === signature
      : hasMark(runs, signature),
    'a stream ends as complete after its last event only':
      !call.isComplete || (rest === '' && nextEvent > steps),
  });
};

/** Checks each caller's stream over all the calls with which it was resumed. */
export const checkResumes = (
  calls: readonly SoakCall[],
): GuaranteeViolation[] => {
  const streams = collectBy(
    calls.filter(({ kind }) => kind === SoakKind.Stream),
    ({ streamId }) => streamId,
  );
  return [...streams].flatMap(([streamId, parts]) =>
    listViolations(streamId, {
      'a stream has each event once over its resumes':
        parts.length === 1 || isInOrder(parts),
    }),
  );
};

const isInOrder = (parts: readonly SoakCall[]): boolean =>
  parts
    .flatMap(
      ({ requestId, answer }) => parseSoakEvents(requestId, answer).events,
    )
    .every(({ eventId }, at) => eventId === at + 1);

const isOneRunAfterTheOther = (
  events: readonly SoakEvent[],
  runs: readonly SoakRun[],
): boolean => {
  const marks = events.map(({ mark }) => mark);
  const turns = marks.filter((mark, at) => mark !== marks[at - 1]);
  return (
    turns.length === new Set(turns).size &&
    turns.every(mark => hasMark(runs, mark))
  );
};

const hasMark = (runs: readonly SoakRun[], mark: string): boolean =>
  runs.some(run => run.mark === mark);
