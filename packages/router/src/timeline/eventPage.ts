/** The page of events that each process serves for the timeline. */
import { toWallTime, type EventRecord } from '@lycheetally/common';
import { z } from 'zod';
import { parseNumber } from '../ledger/outcomeLedger.js';

/** Filter for events; an absent field matches every event. */
export interface EventQuery {
  /** The router's id of the request, or the caller's own. */
  readonly request?: string | undefined;
  /** Only events at or after this time, in milliseconds since the epoch. */
  readonly since?: number | undefined;
  readonly kind?: string | undefined;
}

const eventSchema = z.object({
  stamp: z.number(),
  process: z.string(),
  kind: z.string(),
  requestId: z.string().optional(),
  attempt: z.number().optional(),
  detail: z
    .record(z.string(), z.union([z.string(), z.number(), z.boolean()]))
    .optional(),
});

/** Schema of the page of events that an operators' port serves. */
export const eventPageSchema = z.object({
  process: z.string(),
  incarnation: z.string(),
  /** The wall clock of the process when it answered, in milliseconds. */
  now: z.number(),
  /** Number of events overwritten in the ring buffer. */
  overwritten: z.int(),
  events: z.array(eventSchema),
});

/** The events of one process. */
export type EventPage = z.output<typeof eventPageSchema>;

/** Reads a query from the parameters of a URL. Throws `BadRequest`. */
export const parseEventQuery = (parameters: URLSearchParams): EventQuery => ({
  request: parameters.get('request') ?? undefined,
  since: parseNumber(parameters, 'since'),
  kind: parameters.get('kind') ?? undefined,
});

/** Filters events by a query. */
export const filterEvents = (
  events: readonly EventRecord[],
  query: EventQuery,
): EventRecord[] => {
  const ids = listRequestIds(events, query.request);
  return events.filter(
    event =>
      (ids === undefined || ids.has(event.requestId ?? '')) &&
      (query.since === undefined || toWallTime(event.stamp) >= query.since) &&
      (query.kind === undefined || event.kind === query.kind),
  );
};

/** Lists the router's ids of a request; `undefined` when no request is given. */
export const listRequestIds = (
  events: readonly EventRecord[],
  request: string | undefined,
): ReadonlySet<string> | undefined => {
  if (request === undefined) {
    return undefined;
  }
  const aliases = events
    .filter(event => event.detail?.callerRequestId === request)
    .map(event => event.requestId ?? '');
  return new Set([request, ...aliases]);
};
