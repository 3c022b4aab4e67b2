/**
 * Chooses the backend servers of an attempt.
 *
 * The route of a model is a list of servers whose layer ranges together cover
 * each layer exactly once. The route of a plain service is a single server.
 */
import {
  Err,
  ErrorKind,
  Ok,
  TypedError,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  ServiceKind,
  type RequestView,
  type ServerView,
  type ServiceRule,
} from './types.js';

/** Servers in layer order. */
export type Route = readonly ServerView[];

/** Chooses the route of each attempt. */
export abstract class RoutingPolicy {
  /**
   * Uses servers that refused or failed the request only if there is no route
   * without them. Fails with `NoCapacity` when there is no route at all.
   */
  chooseRoute(
    request: RequestView,
    service: ServiceRule,
    servers: readonly ServerView[],
    now: Milliseconds,
  ): Result<Route> {
    const usable = servers.filter(server => isUsable(server, service));
    const preferred = usable.filter(
      server => !request.avoided.includes(server.serverId),
    );
    const route = this.buildRoute(service, preferred, now);
    return route.ok ? route : this.buildRoute(service, usable, now);
  }

  /** Chooses one of the servers that start at the same layer. */
  protected abstract pickServer(
    candidates: readonly ServerView[],
    now: Milliseconds,
  ): ServerView | undefined;

  private buildRoute(
    service: ServiceRule,
    servers: readonly ServerView[],
    now: Milliseconds,
  ): Result<Route> {
    if (service.kind === ServiceKind.Plain) {
      const server = this.pickServer(servers, now);
      return server ? Ok([server]) : Err(createNoRouteError(service));
    }
    return this.buildChain(service, servers, now);
  }

  private buildChain(
    service: ServiceRule,
    servers: readonly ServerView[],
    now: Milliseconds,
  ): Result<Route> {
    const viableBoundaries = findViableBoundaries(service, servers);
    const chain: ServerView[] = [];
    let layer = 0;
    while (layer < service.layers) {
      const from = layer;
      const candidates = servers.filter(
        server =>
          server.layerFrom === from && viableBoundaries.has(server.layerTo),
      );
      const next = this.pickServer(candidates, now);
      if (!next) {
        return Err(createNoRouteError(service));
      }
      chain.push(next);
      layer = next.layerTo;
    }
    return Ok(chain);
  }
}

/** Chooses the server with the fewest outstanding requests of this entry. */
export class LeastOutstandingRouting extends RoutingPolicy {
  protected override pickServer(
    candidates: readonly ServerView[],
  ): ServerView | undefined {
    let best: ServerView | undefined;
    for (const candidate of candidates) {
      if (!best || candidate.outstanding < best.outstanding) {
        best = candidate;
      }
    }
    return best;
  }
}

/** Chooses servers in round-robin order. */
export class RoundRobinRouting extends RoutingPolicy {
  private turn = 0;

  protected override pickServer(
    candidates: readonly ServerView[],
  ): ServerView | undefined {
    this.turn += 1;
    return candidates[this.turn % Math.max(1, candidates.length)];
  }
}

const isUsable = (server: ServerView, service: ServiceRule): boolean =>
  server.service === service.name &&
  server.kind === service.kind &&
  server.isConnected &&
  !server.isLeaving;

// Returns the layer boundaries from which a chain can reach the last layer.
const findViableBoundaries = (
  service: ServiceRule,
  servers: readonly ServerView[],
): ReadonlySet<number> => {
  const boundaries = new Set([service.layers]);
  const byEnd = [...servers].sort((a, b) => b.layerTo - a.layerTo);
  for (const server of byEnd) {
    if (boundaries.has(server.layerTo) && server.layerFrom < server.layerTo) {
      boundaries.add(server.layerFrom);
    }
  }
  return boundaries;
};

const createNoRouteError = (service: ServiceRule): TypedError =>
  new TypedError(
    ErrorKind.NoCapacity,
    `no backend servers for service "${service.name}" are ready`,
    'send the request again later',
  );
