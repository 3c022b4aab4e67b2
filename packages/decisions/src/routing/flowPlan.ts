/**
 * The traffic shares of the server groups of one service, from the maximum flow
 * through the groups for the current servers and estimated capacities.
 */
import type { Milliseconds } from '@lycheetally/common';
import type { LoadTracker } from '../load/loadTracker.js';
import type { ServerView } from '../types.js';
import type { FleetIndex, ServerGroup } from './fleetIndex.js';
import type { LinkTable } from './linkTable.js';
import { computeMaxFlow, type MaxFlow } from './maxFlow.js';

/** A group and its share of the flow. */
export interface GroupShare {
  readonly group: ServerGroup;
  readonly share: number;
}

/** Candidate groups for the next stage; their shares add up to `total`. */
export interface StageChoices {
  readonly total: number;
  readonly shares: readonly GroupShare[];
}

export interface FlowPlan {
  /** Groups for the first stage. */
  readonly first: StageChoices;
  /** Groups for the stage after each group, by group key. */
  readonly next: ReadonlyMap<string, StageChoices>;
  /** Estimated capacity of the fleet, in tokens per second. */
  readonly capacity: number;
}

/** Reported capacities are capped at this multiple of the siblings' median. */
const maxSiblingFactor = 1.5;
/** Minimum share of a group's capacity to use, so that its load is still observed. */
const probeShare = 0.05;
/** Assumed capacity of a server while no server reports one. */
const defaultTokensPerSecond = 100;
/** Activations sent per generated token, including those of the prompt. */
const activationsPerToken = 4;

/** Maximum utilization of a link; a saturated link delays every sequence on it. */
const maxLinkUtilization = 0.75;

const computeLinkRate = (links: LinkTable, from: string, to: string): number =>
  (links.computeCapacity(from, to) * maxLinkUtilization) / activationsPerToken;

const isUsable = (server: ServerView): boolean =>
  server.isConnected && !server.isLeaving;

/** Computes the traffic shares for the indexed servers of a service. */
export const computeFlowPlan = (
  index: FleetIndex,
  layers: number,
  loadTracker: LoadTracker,
  links: LinkTable,
  now: Milliseconds,
): FlowPlan => {
  const medians = computeSiblingMedians(index, loadTracker, now);
  const stages = index.groups
    .map(group => ({
      key: group.key,
      layerFrom: group.layerFrom,
      layerTo: group.layerTo,
      failureDomain: group.failureDomain,
      capacity: computeGroupCapacity(group, medians, loadTracker, now),
    }))
    .filter(stage => stage.capacity > 0);
  const flow = computeMaxFlow(stages, layers, (from, to) =>
    computeLinkRate(links, from, to),
  );
  return buildPlan(
    index,
    flow,
    links,
    new Map(stages.map(stage => [stage.key, stage.capacity])),
  );
};

const computeSiblingMedians = (
  index: FleetIndex,
  loadTracker: LoadTracker,
  now: Milliseconds,
): ReadonlyMap<string, number> => {
  const reported = new Map<string, number[]>();
  for (const group of index.groups) {
    const list = reported.get(group.siblingKey) ?? [];
    for (const server of group.servers) {
      const capacity = loadTracker
        .get(server.serverId)
        .getFreshReport(now)?.capacity;
      if (capacity !== undefined && capacity > 0) {
        list.push(capacity);
      }
    }
    reported.set(group.siblingKey, list);
  }
  const all = [...reported.values()].flat();
  const fallback = computeMedian(all) ?? defaultTokensPerSecond;
  return new Map(
    [...reported].map(([key, list]) => [key, computeMedian(list) ?? fallback]),
  );
};

const computeMedian = (values: readonly number[]): number | undefined => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1];
};

const computeGroupCapacity = (
  group: ServerGroup,
  medians: ReadonlyMap<string, number>,
  loadTracker: LoadTracker,
  now: Milliseconds,
): number => {
  const median = medians.get(group.siblingKey) ?? defaultTokensPerSecond;
  return group.servers.filter(isUsable).reduce((sum, server) => {
    const reported =
      loadTracker.get(server.serverId).getFreshReport(now)?.capacity ?? 0;
    const capacity = reported > 0 ? reported : median;
    return sum + Math.min(capacity, median * maxSiblingFactor);
  }, 0);
};

const buildPlan = (
  index: FleetIndex,
  flow: MaxFlow,
  links: LinkTable,
  capacities: ReadonlyMap<string, number>,
): FlowPlan => {
  const next = new Map<string, StageChoices>();
  for (const group of index.groups) {
    const successors = index.groups.filter(
      each => each.layerFrom === group.layerTo && capacities.has(each.key),
    );
    const linkedCapacities = new Map(
      successors.map(each => [
        each.key,
        Math.min(
          capacities.get(each.key) ?? 0,
          computeLinkRate(links, group.failureDomain, each.failureDomain),
        ),
      ]),
    );
    next.set(
      group.key,
      buildChoices(successors, flow.next.get(group.key), linkedCapacities),
    );
  }
  const first = index.groups.filter(
    group => group.layerFrom === 0 && capacities.has(group.key),
  );
  return {
    first: buildChoices(first, flow.first, capacities),
    next,
    capacity: flow.total,
  };
};

const buildChoices = (
  groups: readonly ServerGroup[],
  flows: ReadonlyMap<string, number> | undefined,
  capacities: ReadonlyMap<string, number>,
): StageChoices => {
  const shares = groups.map(group => {
    const probe = (capacities.get(group.key) ?? 0) * probeShare;
    return { group, share: Math.max(probe, flows?.get(group.key) ?? 0) };
  });
  const total = shares.reduce((sum, each) => sum + each.share, 0);
  return { total, shares };
};
