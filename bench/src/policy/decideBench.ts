/** Measures the time of a routing decision among 40, 400 and 2,800 backend servers. */
import {
  ServiceKind,
  type RequestView,
  type RoutingPolicy,
  type ServerView,
} from '@lycheetally/decisions';
import { Bench, type BenchOptions } from '../types.js';
import { benchService, buildMixedFleet } from './fakeFleet.js';
import { ourRules } from './ourRules.js';
import { leastOutstanding } from './policySet.js';
import { computeQuantile } from './tally.js';

const copies = [1, 10, 70];
const workersPerCopy = 40;
const warmUps = 2_000;
const decisions = 20_000;
const baselineDecisions = 500;
const rounds = 3;
const microsecondsPerSecond = 1e6;
const nanosecondsPerSecond = 1e9;

const buildServers = (count: number): readonly ServerView[] =>
  buildMixedFleet(count).map(worker => ({
    serverId: worker.serverId,
    agentAddress: worker.serverId,
    incarnation: '',
    service: benchService.name,
    kind: ServiceKind.Model,
    layerFrom: worker.layerFrom,
    layerTo: worker.layerTo,
    failureDomain: worker.failureDomain,
    accelerator: worker.kind.name,
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
  create: () => RoutingPolicy,
  servers: readonly ServerView[],
  count: number,
): number => {
  const figures = Array.from({ length: rounds }, () => {
    const routing = create();
    measureDecision(routing, servers, Math.min(warmUps, count));
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
    const sizes = copies.map(count => {
      const workers = count * workersPerCopy;
      report(`Deciding among ${String(workers)} backend servers`);
      const servers = buildServers(count);
      return {
        workers,
        ours: measurePolicy(
          () => ourRules.createEntryRules(seed).routing,
          servers,
          decisions,
        ),
        leastOutstanding: measurePolicy(
          () => leastOutstanding.createEntryRules(seed).routing,
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
