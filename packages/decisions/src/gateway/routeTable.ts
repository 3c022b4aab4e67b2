/** Finds the route of a call by host and longest path prefix. */
import { hashText } from '@lycheetally/common';

/** A route with its rules for retries, time limits and the split of calls among services. */
export interface RouteRule {
  readonly name: string;
  /** Host name in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Says whether a call may run more than once. */
  readonly isRepeatable: boolean;
  /** Says whether the answer is a stream of events. */
  readonly isStream: boolean;
  /** Says whether a broken stream may be resumed at another server. */
  readonly isResumable: boolean;
  /** Says whether a call needs no key. */
  readonly isPublic: boolean;
  /** Timeout of a call, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency goal in milliseconds, within which an answer counts at full value. */
  readonly targetMs: number;
  /** Longest pause between two events of a stream that is on time, in milliseconds; absent if the operator names none. */
  readonly maxPauseMs?: number | undefined;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** The most servers that one call may be sent to. */
  readonly maxAttempts: number;
  /** Services among which calls are split by weight. */
  readonly shares: readonly ServiceShare[];
}

export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

export class RouteTable {
  private readonly byHost = new Map<string, RouteRule[]>();

  constructor(routes: readonly RouteRule[]) {
    for (const route of routes) {
      const list = this.byHost.get(route.host) ?? [];
      list.push(route);
      this.byHost.set(route.host, list);
    }
    for (const list of this.byHost.values()) {
      list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** Finds the route with the longest prefix of the path. */
  findRoute(host: string, path: string): RouteRule | undefined {
    return this.byHost
      .get(host)
      ?.find(route => path.startsWith(route.pathPrefix));
  }
}

/** Picks a service by weight; the same request id always gets the same service. */
export const pickService = (
  route: RouteRule,
  requestId: string,
): string | undefined => {
  const shares = route.shares.filter(share => share.weight > 0);
  const total = shares.reduce((sum, share) => sum + share.weight, 0);
  let remainder = (hashText(requestId) / hashRange) * total;
  for (const share of shares) {
    remainder -= share.weight;
    if (remainder < 0) {
      return share.service;
    }
  }
  return shares.at(-1)?.service;
};

const hashRange = 2 ** 32;
