/**
 * Chooses the chain with the earliest predicted completion among a few drawn
 * from the steady shares.
 *
 * The shares keep every stage and link of a mixed fleet at its part of the
 * largest flow; the comparison of a few candidates follows what the load is
 * now. The number of candidates is fixed, so a decision costs the same for a
 * fleet of any size.
 */
import {
  Ok,
  mixBits,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import type { LoadBook } from '../load/loadBook.js';
import {
  LeastOutstandingRouting,
  RoutingPolicy,
  type Route,
} from '../routing.js';
import type { RequestView, ServerView, ServiceRule } from '../types.js';
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

/** What the routing learns from and may be told. */
export interface PredictiveRoutingSettings {
  readonly book: LoadBook;
  readonly links: LinkTable;
  readonly seed: number;
  /** Chains compared for each decision. */
  readonly candidates: number;
  /** Milliseconds between computations of the steady shares. */
  readonly planIntervalMs: Milliseconds;
}

interface IndexedService {
  readonly index: FleetIndex;
  plan: FlowPlan;
  plannedAt: Milliseconds;
}

const maxDraws = 4;
const defaultTokens = 64;
const maxStages = 64;
const hashRange = 2 ** 32;
/** Prompt tokens that one decode pass's time computes. */
const promptTokensPerPass = 200;

export class PredictiveRouting extends RoutingPolicy {
  private readonly services = new WeakMap<
    readonly ServerView[],
    IndexedService
  >();
  private readonly fallback = new LeastOutstandingRouting();
  private draws: number;

  constructor(private readonly settings: PredictiveRoutingSettings) {
    super();
    this.draws = mixBits(settings.seed);
  }

  override chooseRoute(
    request: RequestView,
    service: ServiceRule,
    servers: readonly ServerView[],
    now: Milliseconds,
  ): Result<Route> {
    const { plan } = this.getService(service, servers, now);
    let best: Route | undefined;
    let bestMs = Infinity;
    for (let count = 0; count < this.settings.candidates; count += 1) {
      const route = this.pickRoute(plan, service, request, now);
      const endsMs = route
        ? this.estimateCompletion(route, request, now)
        : Infinity;
      if (endsMs < bestMs) {
        bestMs = endsMs;
        best = route;
      }
    }
    return best
      ? Ok(best)
      : this.fallback.chooseRoute(request, service, servers, now);
  }

  /** Estimates the milliseconds until the whole answer of a route. */
  estimateCompletion(
    route: Route,
    request: RequestView,
    now: Milliseconds,
  ): Milliseconds {
    const { book, links } = this.settings;
    const [first] = route;
    if (!first) {
      return Infinity;
    }
    const waitMs = book
      .get(first.serverId)
      .estimateWait(request.urgency ?? 0, now);
    const promptTokens = request.promptTokens ?? 1;
    const prompts = 1 + promptTokens / promptTokensPerPass;
    let passMs = 0;
    let slowestMs = 0;
    let promptMs = 0;
    let before = route.at(-1) ?? first;
    for (const server of route) {
      const load = book.get(server.serverId);
      const stageMs = load.estimatePass(now);
      const [from, to] = [before.failureDomain, server.failureDomain];
      slowestMs = Math.max(slowestMs, load.estimateTokenGap(now));
      passMs += stageMs + links.estimateDelay(from, to, 1);
      promptMs += stageMs * prompts;
      promptMs += links.estimateDelay(from, to, promptTokens);
      before = server;
    }
    const tokens = request.maxTokens ?? defaultTokens;
    return waitMs + promptMs + Math.max(passMs, slowestMs) * (tokens - 1);
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
      const server = group && this.pickMember(group, request, now);
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
    let left = this.pickFraction() * choices.total;
    for (const { group, share } of choices.shares) {
      left -= share;
      if (left < 0) {
        return group;
      }
    }
    return choices.shares.at(-1)?.group;
  }

  // Of two servers drawn from the group, the one with less before it.
  private pickMember(
    group: ServerGroup,
    request: RequestView,
    now: Milliseconds,
  ): ServerView | undefined {
    const one = this.pickUsable(group, request);
    const other = this.pickUsable(group, request);
    if (!one || !other) {
      return one ?? other;
    }
    const { book } = this.settings;
    const urgency = request.urgency ?? 0;
    const estimate = (server: ServerView): Milliseconds => {
      const load = book.get(server.serverId);
      const waitMs =
        server.layerFrom === 0 ? load.estimateWait(urgency, now) : 0;
      return waitMs + load.estimateTokenGap(now);
    };
    return estimate(one) <= estimate(other) ? one : other;
  }

  private pickUsable(
    group: ServerGroup,
    request: RequestView,
  ): ServerView | undefined {
    for (let count = 0; count < maxDraws; count += 1) {
      const place = Math.floor(this.pickFraction() * group.servers.length);
      const server = group.servers[place];
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

  private pickFraction(): number {
    this.draws = (this.draws + goldenStep) >>> 0;
    return mixBits(this.draws) / hashRange;
  }

  private getService(
    service: ServiceRule,
    servers: readonly ServerView[],
    now: Milliseconds,
  ): IndexedService {
    const known = this.services.get(servers);
    if (known && now - known.plannedAt < this.settings.planIntervalMs) {
      return known;
    }
    const index = known?.index ?? indexServers(servers, service.name);
    const { book, links } = this.settings;
    const plan = computeFlowPlan(index, service.layers, book, links, now);
    const planned = { index, plan, plannedAt: now };
    this.services.set(servers, planned);
    return planned;
  }
}

const goldenStep = 0x9e3779b9;
