/**
 * What gateways reported that they have in flight, and the sums of it.
 *
 * A relay keeps the newest report of each gateway. Messages may be late, repeated, out of
 * order or from before a restart: an older one never replaces a newer one, and each counts
 * for a short time only, so that the worst they do is an estimate that is off for a moment.
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  maxFlights,
  maxReportAgeMs,
  maxReporters,
  reportMemoryMs,
} from './constants.js';
import type { InFlight } from './estimateServerLoad.js';

/** Calls in flight by server. */
export type Flights = ReadonlyMap<string, InFlight>;

/** What some gateways have in flight together. */
export interface FlightSum {
  /** Number of gateways that it covers. */
  readonly gateways: number;
  /** Mean age of their figures. */
  readonly ageMs: Milliseconds;
  readonly flights: Flights;
}

/** What a gateway reports, of itself or as the relay of a failure domain. */
export interface FlightReport extends FlightSum {
  /** Id of the gateway that sends it. */
  readonly sender: string;
  /** Its failure domain, if it reports for the domain; absent if it reports for itself. */
  readonly domain: string | undefined;
  /** When its process started, by the clock of the VM, which may step back. */
  readonly incarnation: number;
  /** Increases with each report of an incarnation. */
  readonly sequence: number;
}

interface KeptReport extends FlightReport {
  readonly receivedAt: Milliseconds;
}

export class FlightBoard {
  private readonly reports = new Map<string, KeptReport>();

  /** Keeps the report unless a newer one of its sender is known; returns whether it was kept. */
  accept(report: FlightReport, now: Milliseconds): boolean {
    this.dropForgotten(now);
    const known = this.reports.get(report.sender);
    if (known ? !isNewer(report, known) : this.reports.size >= maxReporters) {
      return false;
    }
    this.reports.set(report.sender, { ...report, receivedAt: now });
    return true;
  }

  /** Sums the recent reports of all gateways but one; of several for the same domain, the one that covers most counts, and the newest one of those. */
  computeSum(without: string | undefined, now: Milliseconds): FlightSum {
    const counted = new Map<string, FlightSum>();
    for (const report of this.reports.values()) {
      const ageMs = report.ageMs + now - report.receivedAt;
      const group = report.domain ?? report.sender;
      const other = counted.get(group);
      if (
        report.sender !== without &&
        ageMs <= maxReportAgeMs &&
        !(other && isPreferred(other, { ...report, ageMs }))
      ) {
        counted.set(group, { ...report, ageMs });
      }
    }
    return computeFlightSum([...counted.values()]);
  }

  /** A sender whose clock stepped back at a restart counts anew after that time. */
  private dropForgotten(now: Milliseconds): void {
    for (const [sender, { receivedAt }] of this.reports) {
      if (now - receivedAt > reportMemoryMs) {
        this.reports.delete(sender);
      }
    }
  }
}

const isNewer = (report: FlightReport, known: FlightReport): boolean =>
  report.incarnation > known.incarnation ||
  (report.incarnation === known.incarnation &&
    report.sequence > known.sequence);

const isPreferred = (sum: FlightSum, other: FlightSum): boolean =>
  sum.gateways === other.gateways
    ? sum.ageMs <= other.ageMs
    : sum.gateways > other.gateways;

/** Adds sums up; their age is the mean over the gateways. */
export const computeFlightSum = (sums: readonly FlightSum[]): FlightSum => {
  const flights = new Map<string, InFlight>();
  let gateways = 0;
  let ages = 0;
  for (const sum of sums) {
    gateways += sum.gateways;
    ages += sum.gateways * sum.ageMs;
    for (const [server, { calls, layerTokens }] of sum.flights) {
      const known = flights.get(server);
      flights.set(server, {
        calls: calls + (known?.calls ?? 0),
        layerTokens: layerTokens + (known?.layerTokens ?? 0),
      });
    }
  }
  return { gateways, ageMs: ages / Math.max(1, gateways), flights };
};

/** Keeps the servers with most in flight, as many as a message holds. */
export const trimFlights = (flights: Flights): Flights =>
  flights.size <= maxFlights
    ? flights
    : new Map(
        [...flights]
          .sort(([, a], [, b]) => b.layerTokens - a.layerTokens)
          .slice(0, maxFlights),
      );
