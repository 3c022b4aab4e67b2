/** Formats processes and event details of a timeline as text. */
import type { EventRecord } from '@lycheetally/common';
import type { TimelineProcess } from './mergeTimeline.js';
import { toPrintable } from './printable.js';

/** Formats a process, with its clock offset or its fault, as one line. */
export const formatProcess = (process: TimelineProcess): string => {
  if (process.fault !== undefined) {
    return `# ${toPrintable(process.address)} DID NOT ANSWER: ${toPrintable(process.fault)}`;
  }
  const offset = process.clockOffsetMs ?? 0;
  const overwrittenNote =
    process.overwritten > 0
      ? `, ${String(process.overwritten)} older events are no longer kept`
      : '';
  return `# ${toPrintable(process.name)} at ${process.address}, clock ${offset < 0 ? '' : '+'}${String(offset)} ms${overwrittenNote}`;
};

/** Formats the details of an event as `name=value` pairs. */
export const formatDetail = (event: EventRecord): string =>
  Object.entries(event.detail ?? {})
    .filter(([, value]) => value !== '')
    .map(([name, value]) => ` ${name}=${toPrintable(value)}`)
    .join('');
