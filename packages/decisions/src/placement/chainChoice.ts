/**
 * Chooses the chain of backend servers that runs the layers of a request.
 *
 * A server may run any contiguous part of the layers that it holds, so a chain
 * can combine servers of different replicas when one replica loses a server.
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  computeLayerTokens,
  findKind,
  type LayerRange,
  type LayeredModel,
  type StageLoad,
  type StageServer,
} from './types.js';

/** One stage of a chain. */
export interface ChainStage {
  readonly server: StageServer;
  readonly range: LayerRange;
}

/** Inputs for choosing a chain. */
export interface ChainRequest {
  readonly model: LayeredModel;
  readonly servers: readonly StageServer[];
  /** Failure domain of the gateway that sends the request. */
  readonly homeDomain: string;
  /** KV cache tokens that the request may use. */
  readonly tokens: number;
  /** Servers that must not be used. */
  readonly excluded: ReadonlySet<string>;
  readonly getLoad: (serverId: string) => StageLoad;
}

/** Strategy that chooses a chain. */
export abstract class ChainPolicy {
  /** Returns stages that run each layer once and in order, or `undefined`. */
  abstract chooseChain(
    request: ChainRequest,
  ): readonly ChainStage[] | undefined;
}

/** The longest chain that the engines accept, in stages. */
const maxStages = 32;

/** Network delay and handover of a hop within a failure domain, in milliseconds. */
const hopMs = 0.15;

/**
 * Cost of a hop to another failure domain, in milliseconds. The activations of
 * all chains share one link between two domains, and a few chains that cross it
 * often saturate it.
 */
const farHopMs = 12;

/**
 * Cost of reaching a first server in another failure domain, in milliseconds.
 * Lower than a hop between stages, since only text is sent.
 */
const farEntryMs = 4;

/** Share of its KV cache that a server may use before it counts as full. */
const fullShare = 0.9;

/** Penalty of a full server, in milliseconds per step; exceeds the cost of any detour. */
const fullMs = 1_000;

interface Reached {
  readonly cost: Milliseconds;
  readonly position: number;
  readonly stage: ChainStage | undefined;
  readonly previous: Reached | undefined;
  readonly stages: number;
}

/** Chooses the chain with the lowest predicted time per token. */
export class CheapestChain extends ChainPolicy {
  override chooseChain(
    request: ChainRequest,
  ): readonly ChainStage[] | undefined {
    const holders = request.servers.filter(
      server => server.range && !request.excluded.has(server.serverId),
    );
    const open = new Map<string, Reached>();
    const start: Reached = {
      cost: 0,
      position: 0,
      stage: undefined,
      previous: undefined,
      stages: 0,
    };
    let end: Reached | undefined;
    open.set('', start);
    for (let next = takeFirst(open); next; next = takeFirst(open)) {
      if (next.position >= request.model.layers) {
        end = !end || next.cost < end.cost ? next : end;
        continue;
      }
      if (next.stages < maxStages) {
        addNext(request, holders, next, open);
      }
    }
    return end ? listStages(end) : undefined;
  }
}

/** Removes and returns the partial chain that has run the fewest layers. */
const takeFirst = (open: Map<string, Reached>): Reached | undefined => {
  let first: [string, Reached] | undefined;
  for (const entry of open) {
    if (!first || entry[1].position < first[1].position) {
      first = entry;
    }
  }
  if (first) {
    open.delete(first[0]);
  }
  return first?.[1];
};

const addNext = (
  request: ChainRequest,
  holders: readonly StageServer[],
  from: Reached,
  open: Map<string, Reached>,
): void => {
  const { position } = from;
  const here = holders.filter(
    server =>
      server.range &&
      server.range.from <= position &&
      position < server.range.to &&
      !hasPassed(from, server),
  );
  for (const server of here) {
    for (const to of listEnds(holders, server, position)) {
      const range = { from: position, to };
      const cost = from.cost + computeStageCost(request, from, server, range);
      const key = `${String(to)} ${server.failureDomain}`;
      const known = open.get(key);
      if (!known || cost < known.cost) {
        open.set(key, {
          cost,
          position: to,
          stage: { server, range },
          previous: from,
          stages: from.stages + 1,
        });
      }
    }
  }
};

/** Says whether the chain contains the server already; engines reject a server that appears twice. */
const hasPassed = (reached: Reached, server: StageServer): boolean => {
  for (let at: Reached | undefined = reached; at; at = at.previous) {
    if (at.stage?.server === server) {
      return true;
    }
  }
  return false;
};

/**
 * Lists the layers at which a stage may end: the end of the server's range, and
 * the start of each range that begins within it and reaches further.
 */
const listEnds = (
  holders: readonly StageServer[],
  server: StageServer,
  position: number,
): number[] => {
  const own = server.range?.to ?? position;
  const ends = new Set([own]);
  for (const { range } of holders) {
    if (range && range.from > position && range.from < own && range.to > own) {
      ends.add(range.from);
    }
  }
  return [...ends];
};

const computeStageCost = (
  request: ChainRequest,
  from: Reached,
  server: StageServer,
  range: LayerRange,
): Milliseconds => {
  const { model, homeDomain } = request;
  const kind = findKind(model, server.kind);
  if (!kind || !server.range) {
    return fullMs;
  }
  const load = request.getLoad(server.serverId);
  const previousDomain = from.stage?.server.failureDomain ?? homeDomain;
  const farMs = from.stage ? farHopMs : farEntryMs;
  const hop = previousDomain === server.failureDomain ? hopMs : farMs;
  const layers = range.to - range.from;
  const room = computeLayerTokens(model, kind, server.range) * fullShare;
  const taken = load.layerTokens + request.tokens * layers;
  const context = load.layerTokens / model.layers / tokensPerK;
  const step =
    model.stepMs +
    context * model.stepMsPerContextK +
    load.firstRequests * model.stepMsPerRequest;
  const work = (layers / model.layers) * kind.stepFactor * load.slowness * step;
  const isFull =
    taken > room || (!from.stage && load.firstRequests >= server.slots);
  return work + hop + (isFull ? fullMs : 0);
};

const tokensPerK = 1_000;

const listStages = (end: Reached): ChainStage[] => {
  const stages: ChainStage[] = [];
  for (
    let at: Reached | undefined = end;
    at?.stage !== undefined;
    at = at.previous
  ) {
    stages.push(at.stage);
  }
  return stages.reverse();
};
