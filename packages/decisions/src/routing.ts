/**
 * Chooses the backend servers of an attempt.
 *
 * A route is a list of servers whose layer ranges tile the model exactly; a
 * plain service's route is one server.
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

/** Servers in the order of the layers. */
export type Route = readonly ServerView[];

/** A rule that chooses routes. */
export abstract class RoutingPolicy {
  /** Fails with `NoCapacity` when no route exists now. */
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
      return server ? Ok([server]) : Err(createNoRoute(service));
    }
    return this.buildChain(service, servers, now);
  }

  private buildChain(
    service: ServiceRule,
    servers: readonly ServerView[],
    now: Milliseconds,
  ): Result<Route> {
    const finishing = findFinishing(service, servers);
    const chain: ServerView[] = [];
    let layer = 0;
    while (layer < service.layers) {
      const from = layer;
      const candidates = servers.filter(
        server => server.layerFrom === from && finishing.has(server.layerTo),
      );
      const next = this.pickServer(candidates, now);
      if (!next) {
        return Err(createNoRoute(service));
      }
      chain.push(next);
      layer = next.layerTo;
    }
    return Ok(chain);
  }
}

/** Chooses the server with the least outstanding work of this entry. */
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

/** Chooses servers in turn. */
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

// Layer boundaries from which the last layer can be reached.
const findFinishing = (
  service: ServiceRule,
  servers: readonly ServerView[],
): ReadonlySet<number> => {
  const finishing = new Set([service.layers]);
  const byEnd = [...servers].sort((a, b) => b.layerTo - a.layerTo);
  for (const server of byEnd) {
    if (finishing.has(server.layerTo) && server.layerFrom < server.layerTo) {
      finishing.add(server.layerFrom);
    }
  }
  return finishing;
};

const createNoRoute = (service: ServiceRule): TypedError =>
  new TypedError(
    ErrorKind.NoCapacity,
    `no backend servers for service "${service.name}" are ready`,
    'send the request again later',
  );
