/** Collects the events of processes over their operators' ports. */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Result,
} from '@lycheetally/common';
import type { z } from 'zod';
import { requestJson } from '@lycheetally/node';
import {
  eventPageSchema,
  listRequestIds,
  type EventQuery,
} from './eventPage.js';
import {
  mergeTimeline,
  type ProcessAnswer,
  type Timeline,
} from './mergeTimeline.js';

/** Time limit for an answer from an operators' port, in milliseconds. */
const operatorsTimeoutMs = 5_000;

/** Reads a JSON page from an operators' port. Fails with `PlatformUnavailable` or `BadMessage`. */
export const readOperatorsPage = async <T extends z.ZodType>(
  address: string,
  path: string,
  schema: T,
): Promise<Result<z.output<T>>> => {
  const url = `http://${address}${path}`;
  const timeoutMs = operatorsTimeoutMs;
  const response = await requestJson({ method: 'GET', url, timeoutMs });
  if (response.err) {
    return Err(response.val);
  }
  const parsed = schema.safeParse(response.val.body);
  if (response.val.status === 200 && parsed.success) {
    return Ok(parsed.data);
  }
  return Err(
    new TypedError(
      ErrorKind.BadMessage,
      `${url} answered with status ${String(response.val.status)} instead of the expected page`,
      "check that the address is the operators' port of a process",
    ),
  );
};

/**
 * Collects the events of all processes.
 *
 * A request may be identified by its caller's own id. Only the entry knows that
 * id, so a first query finds the router's ids of the request.
 */
export const collectTimeline = async (
  addresses: readonly string[],
  query: EventQuery,
): Promise<Timeline> => {
  if (query.request === undefined) {
    return mergeTimeline(await readAllEvents(addresses, query));
  }
  const matching = mergeTimeline(
    await readAllEvents(addresses, { request: query.request }),
  );
  const ids = [...(listRequestIds(matching.events, query.request) ?? [])];
  const parts = await Promise.all(
    ids.map(request => readAllEvents(addresses, { ...query, request })),
  );
  return joinParts(parts);
};

const readAllEvents = (
  addresses: readonly string[],
  query: EventQuery,
): Promise<ProcessAnswer[]> =>
  Promise.all(addresses.map(address => readEvents(address, query)));

const readEvents = async (
  address: string,
  query: EventQuery,
): Promise<ProcessAnswer> => {
  const path = `/v1/admin/events${formatQuery(query)}`;
  const sentAt = Date.now();
  const read = await readOperatorsPage(address, path, eventPageSchema);
  if (read.err) {
    return { address, fault: read.val.message };
  }
  const midpoint = (sentAt + Date.now()) / 2;
  return {
    address,
    page: read.val,
    clockOffsetMs: Math.round(read.val.now - midpoint),
  };
};

/** Formats the defined fields of a query as URL parameters. */
export const formatQuery = (query: object): string => {
  const parameters = new URLSearchParams();
  for (const [name, value] of Object.entries(query)) {
    if (value !== undefined) {
      parameters.set(name, String(value));
    }
  }
  return parameters.size === 0 ? '' : `?${parameters.toString()}`;
};

// Each part holds the events of one request id, so no event is added twice.
const joinParts = (parts: readonly ProcessAnswer[][]): Timeline => {
  const [first = [], ...others] = parts;
  const joined = first.map((answer, index) =>
    others.reduce<ProcessAnswer>(
      (whole, part) => joinAnswers(whole, part[index]),
      answer,
    ),
  );
  return mergeTimeline(joined);
};

const joinAnswers = (
  whole: ProcessAnswer,
  part: ProcessAnswer | undefined,
): ProcessAnswer => {
  if (!part || !('page' in whole)) {
    return whole;
  }
  if (!('page' in part)) {
    return part;
  }
  const known = new Set(whole.page.events.map(event => event.stamp));
  const added = part.page.events.filter(event => !known.has(event.stamp));
  const events = [...whole.page.events, ...added];
  return { ...whole, page: { ...whole.page, events } };
};
