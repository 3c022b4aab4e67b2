/**
 * The messages in which gateways report what they have in flight: HTTP POST with JSON bodies.
 *
 * Servers are named by a hash of service and id, so that 52 servers fit into 750 bytes. Two
 * servers with the same hash, one pair in a thousand fleets of 2,800, share their figures.
 */
import { z } from 'zod';
import { hashText } from '@lycheetally/common';
import {
  maxFlights,
  trimFlights,
  type FlightReport,
  type Flights,
  type FlightSum,
} from '@lycheetally/decisions';

/** Path of the messages at the address that gateways announce. */
export const loadPath = '/load';

/** Layer tokens are told in this unit; a call takes several. */
const layerTokenUnit = 1_000;

const maxNameLength = 128;
const maxEntryLength = 30;
const radix = 36;

/** Above any real figure, so that a faulty message can't make sums infinite. */
const maxFigure = 1e9;

/** The most that the nine digits of a figure of a server hold; sums of faulty figures are cut off there, so that they can be read. */
const maxFlightFigure = 999_999_999;

const flightsSchema = z
  .string()
  .max(maxFlights * maxEntryLength)
  .regex(/^([0-9a-z]{1,7},\d{1,9},\d{1,9};)*$/u);

const sumSchema = z.object({
  gateways: z.number().int().min(0).max(maxFigure),
  ageMs: z.number().min(0).max(maxFigure),
  flights: flightsSchema,
});

const reportSchema = sumSchema.extend({
  sender: z.string().min(1).max(maxNameLength),
  domain: z.string().max(maxNameLength).optional(),
  incarnation: z.number(),
  sequence: z.number().int().min(0),
});

/** Returns the name of a server in messages. */
export const formatServerKey = (service: string, serverId: string): string =>
  hashText(`${service} ${serverId}`).toString(radix);

const formatFigure = (figure: number): string =>
  String(Math.min(maxFlightFigure, figure));

const formatFlights = (flights: Flights): string =>
  [...trimFlights(flights)]
    .map(([server, { calls, layerTokens }]) => {
      const units = Math.round(layerTokens / layerTokenUnit);
      return `${server},${formatFigure(calls)},${formatFigure(units)};`;
    })
    .join('');

const parseFlights = (text: string): Flights =>
  new Map(
    text
      .split(';')
      .slice(0, -1)
      .map(entry => {
        const [server = '', calls, units] = entry.split(',');
        const layerTokens = Number(units) * layerTokenUnit;
        return [server, { calls: Number(calls), layerTokens }];
      }),
  );

export const encodeSum = ({ gateways, ageMs, flights }: FlightSum): string =>
  JSON.stringify({
    gateways: Math.min(maxFigure, gateways),
    ageMs: Math.round(ageMs),
    flights: formatFlights(flights),
  });

export const encodeReport = (report: FlightReport): string =>
  JSON.stringify({
    ...report,
    gateways: Math.min(maxFigure, report.gateways),
    ageMs: Math.round(report.ageMs),
    flights: formatFlights(report.flights),
  });

/** A decoded sum and the bytes of its message. */
export interface ReceivedSum extends FlightSum {
  readonly bytes: number;
}

/** Returns `undefined` if it is no answer to a report. */
export const decodeSum = (json: unknown): ReceivedSum | undefined => {
  const parsed = sumSchema.safeParse(json);
  return parsed.success
    ? {
        gateways: parsed.data.gateways,
        ageMs: parsed.data.ageMs,
        flights: parseFlights(parsed.data.flights),
        // Not of `json`: other values in it may be nested deeper than the stack.
        bytes: JSON.stringify(parsed.data).length,
      }
    : undefined;
};

/** Returns `undefined` if it is no report. */
export const decodeReport = (json: unknown): FlightReport | undefined => {
  const parsed = reportSchema.safeParse(json);
  return parsed.success
    ? {
        ...parsed.data,
        domain: parsed.data.domain,
        flights: parseFlights(parsed.data.flights),
      }
    : undefined;
};
