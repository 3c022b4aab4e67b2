/** Formats a timeline as text, JSON, trace events or HTML. */
import {
  toWallTime,
  type EventRecord,
  type ValueOf,
} from '@lycheetally/common';
import { formatDetail, formatProcess } from './describeEvent.js';
import type { Timeline } from './mergeTimeline.js';
import { toPrintable } from './printable.js';
import { renderTimelinePage } from './timelinePage.js';

export const TimelineFormat = {
  Text: 'text',
  Json: 'json',
  /** JSON in the trace-event format, for trace viewers. */
  Trace: 'trace',
  /** One self-contained HTML page. */
  Html: 'html',
} as const;
export type TimelineFormat = ValueOf<typeof TimelineFormat>;

export const formatTimeline = (
  timeline: Timeline,
  format: TimelineFormat,
): string => {
  switch (format) {
    case TimelineFormat.Json:
      return `${JSON.stringify(timeline)}\n`;
    case TimelineFormat.Trace:
      return `${JSON.stringify(toTraceEvents(timeline))}\n`;
    case TimelineFormat.Html:
      return renderTimelinePage(timeline);
    case TimelineFormat.Text:
      return formatText(timeline);
  }
};

const formatText = (timeline: Timeline): string => {
  const width = Math.max(
    0,
    ...timeline.processes.map(process => process.name.length),
  );
  const lines = [
    ...timeline.processes.map(formatProcess),
    ...timeline.events.map(event => formatEvent(event, width)),
  ];
  return lines.map(line => `${line}\n`).join('');
};

const formatEvent = (event: EventRecord, width: number): string => {
  const at = new Date(toWallTime(event.stamp)).toISOString();
  const attempt =
    event.attempt === undefined ? '' : `/${String(event.attempt)}`;
  const subject =
    event.requestId === undefined
      ? ''
      : ` ${toPrintable(event.requestId)}${attempt}`;
  const process = toPrintable(event.process).padEnd(width);
  return `${at} ${process} ${toPrintable(event.kind)}${subject}${formatDetail(event)}`;
};

/** One event of the trace-event format; `ts` is in microseconds. */
interface TraceEvent {
  readonly name: string;
  readonly ph: string;
  readonly pid: number;
  readonly tid: number;
  readonly ts?: number;
  readonly s?: string;
  readonly cat?: string;
  readonly id?: string;
  readonly args?: object;
}

const timestampsPerMicrosecond = 4.096;

/** Event kinds that begin a span of a request in one process, with the kinds that end it. */
const spanEnds: Readonly<Record<string, readonly string[]>> = {
  'request-accepted': ['request-ended'],
  'work-accepted': ['work-ended'],
};

const toTraceEvents = (timeline: Timeline): { traceEvents: TraceEvent[] } => {
  const pids = new Map(
    timeline.processes.map((process, index) => [process.name, index + 1]),
  );
  const names = timeline.processes.map((process, index) => ({
    name: 'process_name',
    ph: 'M',
    pid: index + 1,
    tid: 0,
    args: {
      name:
        process.fault === undefined
          ? process.name
          : `${process.name} (did not answer)`,
    },
  }));
  const events = timeline.events.flatMap(event =>
    toTraceParts(event, pids.get(event.process) ?? 0),
  );
  return { traceEvents: [...names, ...events] };
};

const toTraceParts = (event: EventRecord, pid: number): TraceEvent[] => {
  const common = {
    pid,
    tid: 0,
    ts: event.stamp / timestampsPerMicrosecond,
    args: {
      request: event.requestId,
      attempt: event.attempt,
      ...event.detail,
    },
  };
  const instant = { ...common, name: event.kind, ph: 'i', s: 't' };
  const phase = findSpanPhase(event.kind);
  if (!phase || event.requestId === undefined) {
    return [instant];
  }
  const id = `${event.requestId}/${String(event.attempt ?? 0)}/${String(pid)}`;
  const span = { ...common, name: event.requestId, cat: 'request', id };
  return [instant, { ...span, ph: phase }];
};

const findSpanPhase = (kind: string): 'b' | 'e' | undefined => {
  if (kind in spanEnds) {
    return 'b';
  }
  return Object.values(spanEnds).some(ends => ends.includes(kind))
    ? 'e'
    : undefined;
};
