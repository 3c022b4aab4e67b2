/** Explains in a few lines how a request was routed and why it ended as it did. */
import { toWallTime, type EventRecord } from '@lycheetally/common';
import { formatDetail, formatProcess } from './describeEvent.js';
import { listRequestIds } from './eventPage.js';
import { listUnresponsive, type Timeline } from './mergeTimeline.js';
import { toPrintable } from './printable.js';

/** Event kinds that are explained in words or left out; all others are listed as recorded. */
const handledKinds: ReadonlySet<string> = new Set([
  'request-accepted',
  'request-refused',
  'request-ended',
  'route-decided',
  'attempt-offered',
  'attempt-complete',
  'attempt-not-run',
  'attempt-failed',
  'attempt-unknown',
  'work-accepted',
  'work-started',
  'work-finished',
  'work-failed',
  'work-not-run',
  'work-cancelled',
  'work-revoked',
  'work-ended',
]);

/** Explains a request, given by the router's id or the caller's own. */
export const explainRequest = (
  timeline: Timeline,
  request: string,
): string[] => {
  const ids = listRequestIds(timeline.events, request) ?? new Set<string>();
  const lines = [...ids].flatMap(id =>
    explainOne(
      id,
      timeline.events.filter(event => event.requestId === id),
    ),
  );
  const unresponsive = listUnresponsive(timeline).map(
    process => `Missing part: ${formatProcess(process).slice(2)}`,
  );
  const found =
    lines.length > 0
      ? lines
      : [
          `No process that answered knows request ${toPrintable(request)}; it may be older than their events.`,
        ];
  return [...found, ...unresponsive];
};

const explainOne = (id: string, events: readonly EventRecord[]): string[] => {
  const [first] = events;
  if (!first) {
    return [];
  }
  return [
    ...explainArrival(id, events),
    ...events.flatMap(event => explainStep(event, first)),
    ...explainOthers(events),
  ];
};

const findEventOfKind = (
  events: readonly EventRecord[],
  kind: string,
): EventRecord | undefined => events.find(event => event.kind === kind);

const formatField = (event: EventRecord, name: string): string =>
  toPrintable(event.detail?.[name] ?? '');

const explainArrival = (
  id: string,
  events: readonly EventRecord[],
): string[] => {
  const accepted = findEventOfKind(events, 'request-accepted');
  const refused = findEventOfKind(events, 'request-refused');
  if (refused) {
    return [
      `Request ${toPrintable(id)} was refused by ${toPrintable(refused.process)} as not run: ${formatField(refused, 'kind')}.`,
    ];
  }
  if (!accepted) {
    return [`Request ${toPrintable(id)}; its entry's events are missing.`];
  }
  const callerId = formatField(accepted, 'callerRequestId');
  return [
    `Request ${toPrintable(id)}${callerId === '' ? '' : ` (caller's id ${callerId})`} came to ${toPrintable(accepted.process)}: account ${formatField(accepted, 'account')}, rank ${formatField(accepted, 'rank')}, service ${formatField(accepted, 'service')}.`,
  ];
};

const explainStep = (event: EventRecord, first: EventRecord): string[] => {
  const elapsedMs = toWallTime(event.stamp) - toWallTime(first.stamp);
  const text = formatStep(event);
  return text === undefined ? [] : [`  +${String(elapsedMs)} ms ${text}`];
};

const formatStep = (event: EventRecord): string | undefined => {
  const process = toPrintable(event.process);
  const attempt = `Attempt ${String(event.attempt ?? 0)}`;
  switch (event.kind) {
    case 'route-decided':
      return formatRouting(event);
    case 'attempt-offered':
      return `${attempt} was offered to ${formatField(event, 'servers').replaceAll(',', ' > ')}.`;
    case 'work-started':
      return `${attempt} started at ${process} (stage ${formatField(event, 'stage')}) ${formatField(event, 'waitedMs')} ms after it was queued.`;
    case 'work-failed':
      return `${attempt} failed at ${process}: ${formatField(event, 'reason')}.`;
    case 'work-not-run':
    case 'work-revoked':
      return `${attempt} was not run at ${process} and will not be.`;
    case 'work-cancelled':
      return `${attempt} was cancelled at ${process}.`;
    case 'attempt-complete':
    case 'attempt-not-run':
    case 'attempt-failed':
    case 'attempt-unknown':
      return `${attempt} ended: ${event.kind.slice('attempt-'.length)}.`;
    case 'request-ended':
      return `Ended ${formatField(event, 'outcome')} with ${formatField(event, 'tokens')} tokens after ${formatField(event, 'attempts')} attempt(s)${formatReason(event)}.`;
    default:
      return undefined;
  }
};

const formatRouting = (event: EventRecord): string => {
  const route = formatField(event, 'route');
  const decided =
    route === ''
      ? `No route: ${formatField(event, 'refusal')}`
      : `Routed to ${route}`;
  const avoided = formatField(event, 'avoided');
  return `${decided}; ${formatField(event, 'candidateCount')} candidates: ${formatField(event, 'candidates')}${avoided === '' ? '' : `; avoided ${avoided}`}.`;
};

const formatReason = (event: EventRecord): string => {
  const reason = formatField(event, 'reason');
  return reason === '' ? '' : `: ${reason}`;
};

/** Lists the events of all other kinds as recorded, such as those of claims. */
const explainOthers = (events: readonly EventRecord[]): string[] => {
  const others = events.filter(event => !handledKinds.has(event.kind));
  return others.map(
    event =>
      `  Also ${toPrintable(event.kind)} at ${toPrintable(event.process)}${formatDetail(event)}.`,
  );
};
