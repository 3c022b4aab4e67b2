/** Measures the time of a routing decision among 40, 400 and 2,800 backend servers. */
import {
  ServiceKind,
  type RequestView,
  type RoutingPolicy,
  type ServerView,
} from '@lycheetally/decisions';
import { Bench, type BenchOptions } from '../types.js';
import { benchService, buildMixedFleet } from './fakeFleet.js';
import { ourPolicies } from './ourPolicies.js';
import { leastOutstanding } from './policySet.js';
import { computeQuantile } from './runMetrics.js';

const fleetCopies = [1, 10, 70];
const serversPerCopy = 40;
const warmUpDecisions = 2_000;
const measuredDecisions = 20_000;
const baselineDecisions = 500;
const rounds = 3;
const microsecondsPerSecond = 1e6;
const nanosecondsPerSecond = 1e9;

const buildServers = (copies: number): readonly ServerView[] =>
  buildMixedFleet(copies).map(server => ({
    serverId: server.serverId,
    agentAddress: server.serverId,
    incarnation: '',
    service: benchService.name,
    kind: ServiceKind.Model,
    layerFrom: server.layerFrom,
    layerTo: server.layerTo,
    failureDomain: server.failureDomain,
    accelerator: server.kind.name,
    isConnected: true,
    isLeaving: false,
    outstanding: 0,
  }));

const request: RequestView = {
  requestId: 'request',
  account: 'depot-1',
  rank: 'family',
  service: benchService.name,
  deadlineAt: 1e6,
  isRepeatable: true,
  attempts: 0,
  avoided: [],
  urgency: 0,
  targetMs: 1e6,
  cost: 64,
  promptTokens: 100,
  maxTokens: 64,
};

const measureDecision = (
  routing: RoutingPolicy,
  servers: readonly ServerView[],
  count: number,
): number => {
  const startedAt = process.hrtime.bigint();
  for (let index = 0; index < count; index += 1) {
    routing.chooseRoute(request, benchService, servers, 0).unwrap();
  }
  const seconds =
    Number(process.hrtime.bigint() - startedAt) / nanosecondsPerSecond;
  return (seconds / count) * microsecondsPerSecond;
};

const measurePolicy = (
  createRouting: () => RoutingPolicy,
  servers: readonly ServerView[],
  count: number,
): number => {
  const figures = Array.from({ length: rounds }, () => {
    const routing = createRouting();
    measureDecision(routing, servers, Math.min(warmUpDecisions, count));
    return measureDecision(routing, servers, count);
  });
  return computeQuantile(figures, 0.5);
};

export class DecideBench extends Bench {
  override readonly name = 'decide';
  override readonly summary =
    'microseconds per routing decision among 2,800 backend servers, and among 40 and 400';
  override readonly unit = 'µs/decision';

  protected override measure({ seed, report }: BenchOptions): Promise<{
    baseline: number;
    ours: number;
    detail: Record<string, unknown>;
  }> {
    const sizes = fleetCopies.map(copies => {
      const serverCount = copies * serversPerCopy;
      report(`Deciding among ${String(serverCount)} backend servers`);
      const servers = buildServers(copies);
      return {
        workers: serverCount,
        ours: measurePolicy(
          () => ourPolicies.createEntryPolicies(seed).routing,
          servers,
          measuredDecisions,
        ),
        leastOutstanding: measurePolicy(
          () => leastOutstanding.createEntryPolicies(seed).routing,
          servers,
          baselineDecisions,
        ),
      };
    });
    const largest = sizes.at(-1);
    return Promise.resolve({
      baseline: largest?.leastOutstanding ?? 0,
      ours: largest?.ours ?? 0,
      detail: { sizes },
    });
  }
}
