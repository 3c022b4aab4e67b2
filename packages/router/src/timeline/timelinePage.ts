/**
 * Renders a timeline as one self-contained HTML page.
 *
 * Each process has a lane, time runs down the page, and lines connect the
 * events of one request across lanes. The page contains no scripts and loads no
 * external resources.
 */
import { toWallTime, type EventRecord } from '@lycheetally/common';
import { formatDetail, formatProcess } from './describeEvent.js';
import {
  listUnresponsive,
  type Timeline,
  type TimelineProcess,
} from './mergeTimeline.js';
import { escapeHtml } from './printable.js';

const laneWidth = 230;
const rowHeight = 24;
const gutterWidth = 110;
const headerHeight = 46;
const dotRadius = 5;
const maxLabelLength = 30;

/** Maximum number of events drawn; earlier ones are left out. */
const maxDrawnEvents = 5_000;

const style = `
body { font: 13px system-ui, sans-serif; margin: 16px; color: #1d2733; }
h1 { font-size: 18px; } .silent { color: #a4121f; font-weight: 600; }
.scroll { overflow: auto; border: 1px solid #d4dae1; }
svg { font: 11px system-ui, sans-serif; } .lane { fill: #f5f7fa; }
.lane.down { fill: #fbe3e4; } .name { font-weight: 600; }
.time { fill: #5c6b7a; } .join { stroke: #9db4d0; fill: none; }
.dot { fill: #3b6ea8; } .dot.bad { fill: #c2253a; } .dot.good { fill: #2b8a4b; }
`;

export const renderTimelinePage = (merged: Timeline): string => {
  const timeline = { ...merged, processes: sortLanes(merged) };
  const events = timeline.events.slice(-maxDrawnEvents);
  const omitted = timeline.events.length - events.length;
  const unresponsive = listUnresponsive(timeline);
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>lycheetally timeline</title>
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<style>${style}</style></head><body>
<h1>Timeline of ${String(timeline.processes.length)} processes, ${String(events.length)} events</h1>
${omitted > 0 ? `<p class="silent">${String(omitted)} earlier events are left out.</p>` : ''}
${unresponsive.map(process => `<p class="silent">${escapeHtml(formatProcess(process).slice(2))}</p>`).join('\n')}
<div class="scroll">${renderLanes(timeline, events)}</div>
<details><summary>Processes</summary><ul>
${timeline.processes.map(process => `<li>${escapeHtml(formatProcess(process).slice(2))}</li>`).join('\n')}
</ul></details></body></html>
`;
};

/** Sorts the processes by their first event; those without one come last. */
const sortLanes = ({ processes, events }: Timeline): TimelineProcess[] => {
  const order = [...new Set(events.map(event => event.process))];
  const getPosition = (process: TimelineProcess): number => {
    const position = order.indexOf(process.name);
    return position < 0 ? order.length : position;
  };
  return [...processes].sort((a, b) => getPosition(a) - getPosition(b));
};

const renderLanes = (
  timeline: Timeline,
  events: readonly EventRecord[],
): string => {
  const lanes = new Map(
    timeline.processes.map((process, index) => [process.name, index]),
  );
  const width = gutterWidth + timeline.processes.length * laneWidth;
  const height = headerHeight + (events.length + 1) * rowHeight;
  const parts = [
    ...timeline.processes.map((process, index) =>
      renderLane(process.name, index, height, process.fault !== undefined),
    ),
    ...renderConnectors(events, lanes),
    ...events.map((event, row) =>
      renderEvent(event, row, lanes.get(event.process) ?? 0, events[0]),
    ),
  ];
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${String(width)}" height="${String(height)}">${parts.join('\n')}</svg>`;
};

const getX = (lane: number): number => gutterWidth + lane * laneWidth + 16;

const getY = (row: number): number => headerHeight + row * rowHeight + 14;

const renderLane = (
  name: string,
  lane: number,
  height: number,
  isUnresponsive: boolean,
): string => {
  const x = gutterWidth + lane * laneWidth;
  const rect = `<rect class="lane${isUnresponsive ? ' down' : ''}" x="${String(x)}" y="0" width="${String(laneWidth - 6)}" height="${String(height)}"/>`;
  const label = `<text class="name" x="${String(x + 10)}" y="20">${escapeHtml(trimLabel(name))}</text>`;
  const note = isUnresponsive
    ? `<text class="silent" fill="#a4121f" x="${String(x + 10)}" y="36">did not answer</text>`
    : '';
  return rect + label + note;
};

/** Draws a line between consecutive events of a request that lie in different lanes. */
const renderConnectors = (
  events: readonly EventRecord[],
  lanes: ReadonlyMap<string, number>,
): string[] => {
  const last = new Map<string, { lane: number; row: number }>();
  return events.flatMap((event, row) => {
    if (event.requestId === undefined) {
      return [];
    }
    const lane = lanes.get(event.process) ?? 0;
    const from = last.get(event.requestId);
    last.set(event.requestId, { lane, row });
    if (!from || from.lane === lane) {
      return [];
    }
    return [
      `<path class="join" d="M${String(getX(from.lane))} ${String(getY(from.row))}L${String(getX(lane))} ${String(getY(row))}"/>`,
    ];
  });
};

const renderEvent = (
  event: EventRecord,
  row: number,
  lane: number,
  first: EventRecord | undefined,
): string => {
  const x = getX(lane);
  const y = getY(row);
  const offset = toWallTime(event.stamp) - toWallTime(first?.stamp ?? 0);
  const subject =
    event.requestId === undefined
      ? ''
      : ` ${event.requestId}/${String(event.attempt ?? '')}`;
  const title = `${event.kind}${subject}${formatDetail(event)}`;
  const at = row === 0 ? formatTime(event) : `+${String(offset)} ms`;
  const time = `<text class="time" x="6" y="${String(y + 4)}">${at}</text>`;
  const dot = `<circle class="dot ${chooseClass(event)}" cx="${String(x)}" cy="${String(y)}" r="${String(dotRadius)}"><title>${escapeHtml(title)}</title></circle>`;
  const label = `<text x="${String(x + 10)}" y="${String(y + 4)}">${escapeHtml(trimLabel(formatLabel(event)))}<title>${escapeHtml(title)}</title></text>`;
  return time + dot + label;
};

const formatTime = (event: EventRecord): string =>
  new Date(toWallTime(event.stamp)).toISOString().slice(11, 23);

const formatLabel = (event: EventRecord): string => {
  const outcome = event.detail?.outcome;
  return outcome === undefined
    ? event.kind
    : `${event.kind} ${String(outcome)}`;
};

const trimLabel = (text: string): string =>
  text.length > maxLabelLength ? `${text.slice(0, maxLabelLength)}…` : text;

const badKinds = /failed|unknown|lost|silent|refused|not-run|cut|bound/;
const goodKinds = /complete|finished|ready/;

const chooseClass = (event: EventRecord): string => {
  const label = formatLabel(event);
  if (badKinds.test(label)) {
    return 'bad';
  }
  return goodKinds.test(label) ? 'good' : '';
};
