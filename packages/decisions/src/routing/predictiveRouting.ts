/**
 * Draws a few candidate chains at random, weighted by the shares of the maximum
 * flow, and chooses the one with the earliest predicted completion.
 *
 * The shares balance the stages and links of a fleet of different accelerators
 * over the long term; the comparison of candidates reacts to the current load.
 * The number of candidates is fixed, so the cost of a decision does not depend
 * on the number of servers.
 */
import { mixBits, type Milliseconds, type Result } from '@lycheetally/common';
import type { OverloadPolicy, RouteForecast } from '../admit/overloadPolicy.js';
import type { LoadTracker } from '../load/loadTracker.js';
import {
  LeastOutstandingRouting,
  RoutingPolicy,
  type Route,
} from '../routing.js';
import type { RequestView, ServerView, ServiceRule } from '../types.js';
import { estimateRoute } from './completionForecast.js';
import {
  indexServers,
  type FleetIndex,
  type ServerGroup,
} from './fleetIndex.js';
import {
  computeFlowPlan,
  type FlowPlan,
  type StageChoices,
} from './flowPlan.js';
import type { LinkTable } from './linkTable.js';

/** Settings and collaborators of `PredictiveRouting`. */
export interface PredictiveRoutingSettings {
  readonly loadTracker: LoadTracker;
  readonly links: LinkTable;
  readonly overloadPolicy: OverloadPolicy;
  readonly seed: number;
  /** Number of chains compared for each decision. */
  readonly candidates: number;
  /** Time after which the shares are computed again, in milliseconds. */
  readonly planIntervalMs: Milliseconds;
}

interface ServicePlan {
  readonly index: FleetIndex;
  plan: FlowPlan;
  plannedAt: Milliseconds;
}

const maxServerDraws = 4;
const maxStages = 64;
const uint32Range = 2 ** 32;

export class PredictiveRouting extends RoutingPolicy {
  private readonly servicePlans = new WeakMap<
    readonly ServerView[],
    ServicePlan
  >();
  private readonly fallback = new LeastOutstandingRouting();
  private drawState: number;

  constructor(private readonly settings: PredictiveRoutingSettings) {
    super();
    this.drawState = mixBits(settings.seed);
  }

  override chooseRoute(
    request: RequestView,
    service: ServiceRule,
    servers: readonly ServerView[],
    now: Milliseconds,
  ): Result<Route> {
    const { plan } = this.getServicePlan(service, servers, now);
    const { loadTracker, links, candidates, overloadPolicy } = this.settings;
    let best: Route | undefined;
    let forecast: RouteForecast | undefined;
    for (let count = 0; count < candidates; count += 1) {
      const route = this.pickRoute(plan, service, request, now);
      const next =
        route && estimateRoute(route, request, loadTracker, links, now);
      if (next && next.completionMs < (forecast?.completionMs ?? Infinity)) {
        best = route;
        forecast = next;
      }
    }
    if (!best || !forecast) {
      return this.fallback.chooseRoute(request, service, servers, now);
    }
    const chosen = best;
    return overloadPolicy
      .decideAdmission(request, forecast, now)
      .map(() => chosen);
  }

  protected override pickServer(
    candidates: readonly ServerView[],
  ): ServerView | undefined {
    return candidates[0];
  }

  private pickRoute(
    plan: FlowPlan,
    service: ServiceRule,
    request: RequestView,
    now: Milliseconds,
  ): Route | undefined {
    const route: ServerView[] = [];
    let choices: StageChoices | undefined = plan.first;
    while (choices && route.length < maxStages) {
      const group = this.pickGroup(choices);
      const server = group && this.pickServerInGroup(group, request, now);
      if (!group || !server) {
        return undefined;
      }
      route.push(server);
      if (group.layerTo >= service.layers) {
        return route;
      }
      choices = plan.next.get(group.key);
    }
    return undefined;
  }

  private pickGroup(choices: StageChoices): ServerGroup | undefined {
    let remaining = this.drawFraction() * choices.total;
    for (const { group, share } of choices.shares) {
      remaining -= share;
      if (remaining < 0) {
        return group;
      }
    }
    return choices.shares.at(-1)?.group;
  }

  // Draws two servers of the group and returns the one with the shorter expected
  // delay ("power of two choices").
  private pickServerInGroup(
    group: ServerGroup,
    request: RequestView,
    now: Milliseconds,
  ): ServerView | undefined {
    const one = this.drawUsableServer(group, request);
    const other = this.drawUsableServer(group, request);
    if (!one || !other) {
      return one ?? other;
    }
    const { loadTracker } = this.settings;
    const urgency = request.urgency ?? 0;
    const { service, account } = request;
    const waitFactor = loadTracker.computeWaitFactor(service, urgency, account);
    const estimate = (server: ServerView): Milliseconds => {
      const load = loadTracker.get(server.serverId);
      const waitMs =
        server.layerFrom === 0
          ? load.estimateWait(urgency, waitFactor, now)
          : 0;
      return waitMs + load.estimateTokenGap(urgency, now);
    };
    return estimate(one) <= estimate(other) ? one : other;
  }

  private drawUsableServer(
    group: ServerGroup,
    request: RequestView,
  ): ServerView | undefined {
    for (let count = 0; count < maxServerDraws; count += 1) {
      const position = Math.floor(this.drawFraction() * group.servers.length);
      const server = group.servers[position];
      if (
        server?.isConnected === true &&
        !server.isLeaving &&
        !request.avoided.includes(server.serverId)
      ) {
        return server;
      }
    }
    return undefined;
  }

  private drawFraction(): number {
    this.drawState = (this.drawState + goldenRatioStep) >>> 0;
    return mixBits(this.drawState) / uint32Range;
  }

  private getServicePlan(
    service: ServiceRule,
    servers: readonly ServerView[],
    now: Milliseconds,
  ): ServicePlan {
    const known = this.servicePlans.get(servers);
    if (known && now - known.plannedAt < this.settings.planIntervalMs) {
      return known;
    }
    const index = known?.index ?? indexServers(servers, service.name);
    const { loadTracker, links } = this.settings;
    const plan = computeFlowPlan(
      index,
      service.layers,
      loadTracker,
      links,
      now,
    );
    const planned = { index, plan, plannedAt: now };
    this.servicePlans.set(servers, planned);
    return planned;
  }
}

/** 2^32 divided by the golden ratio; spreads successive draws evenly. */
const goldenRatioStep = 0x9e3779b9;
