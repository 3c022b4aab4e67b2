/**
 * Estimates the load of a server from all that a gateway knows of it.
 *
 * A gateway knows its own calls exactly, what other gateways reported as of a moment ago,
 * and what the server told in its newest answer. Each counts less with age, down to the
 * estimate that each gateway sends as much as this one.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { StageLoad } from '../placement/types.js';
import {
  freshReportMs,
  fullCoverage,
  maxReportAgeMs,
  toldHalfLifeMs,
} from './constants.js';

/** Calls in flight at a server and their KV cache. */
export interface InFlight {
  /** Calls of which it is the first server. */
  readonly calls: number;
  /** Tokens times layers. */
  readonly layerTokens: number;
}

/** What other gateways have in flight at a server. */
export interface OthersInFlight extends InFlight {
  /** Number of gateways that reported it. */
  readonly gateways: number;
  /** As of when, on the clock of this gateway. */
  readonly asOf: Milliseconds;
}

/** What a server told of its load. */
export interface ToldCalls {
  readonly calls: number;
  readonly asOf: Milliseconds;
  /** Calls of this gateway that were in flight at it then. */
  readonly ownCalls: number;
}

/** What a gateway knows of the load of a server. */
export interface KnownLoad {
  readonly own: InFlight;
  readonly others: OthersInFlight | undefined;
  readonly told: ToldCalls | undefined;
  readonly stepTimeRatio: number;
}

/** How many gateways there are, as far as this one knows. */
export interface GatewayCounts {
  readonly all: number;
  /** Gateways that use the servers of a failure domain. */
  readonly perDomain: number;
}

export const estimateServerLoad = (
  { own, others, told, stepTimeRatio }: KnownLoad,
  counts: GatewayCounts,
  now: Milliseconds,
): StageLoad => {
  const scaled = others && computeAllOthers(others, counts);
  const share = others ? computeReportShare(others, counts, now) : 0;
  const estimate = (get: (each: InFlight) => number): number => {
    const guessed = get(own) * counts.perDomain;
    const reported = scaled ? get(own) + get(scaled) : guessed;
    return share * reported + (1 - share) * guessed;
  };
  return {
    layerTokens: estimate(({ layerTokens }) => layerTokens),
    firstStageRequests: mixTold(
      estimate(({ calls }) => calls),
      own.calls,
      told,
      now,
    ),
    stepTimeRatio,
  };
};

/** Gateways that did not report count as the mean of those that did. */
const computeAllOthers = (
  { calls, layerTokens, gateways }: OthersInFlight,
  { all }: GatewayCounts,
): InFlight => {
  const factor = Math.max(1, (all - 1) / Math.max(1, gateways));
  return { calls: calls * factor, layerTokens: layerTokens * factor };
};

/** Reports count less with age, and when few gateways sent them. */
const computeReportShare = (
  { asOf, gateways }: OthersInFlight,
  { all }: GatewayCounts,
  now: Milliseconds,
): number => {
  const leftMs = maxReportAgeMs - (now - asOf);
  const freshness = leftMs / (maxReportAgeMs - freshReportMs);
  const coverage = gateways / Math.max(1, (all - 1) * fullCoverage);
  return Math.max(0, Math.min(1, freshness)) * Math.min(1, coverage);
};

const mixTold = (
  estimated: number,
  ownCalls: number,
  told: ToldCalls | undefined,
  now: Milliseconds,
): number => {
  if (!told) {
    return estimated;
  }
  const share = 2 ** (-Math.max(0, now - told.asOf) / toldHalfLifeMs);
  const current = Math.max(0, told.calls + ownCalls - told.ownCalls);
  return share * current + (1 - share) * estimated;
};
