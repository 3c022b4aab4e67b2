/**
 * Chooses the chain of backend servers that a request passes through.
 *
 * A server may serve any part of the layers that it holds, so holders of
 * different copies combine into one chain when a server of one copy is lost.
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

/** What a chain is chosen for. */
export interface ChainRequest {
  readonly model: LayeredModel;
  readonly servers: readonly StageServer[];
  /** Failure domain of the entry. */
  readonly homeDomain: string;
  /** Tokens that the request may take in KV cache. */
  readonly tokens: number;
  /** Servers that must not be used. */
  readonly excluded: ReadonlySet<string>;
  readonly getLoad: (serverId: string) => StageLoad;
}

/** A rule that chooses a chain. */
export abstract class ChainPolicy {
  /** Returns stages that run each layer once and in order, or `undefined`. */
  abstract chooseChain(
    request: ChainRequest,
  ): readonly ChainStage[] | undefined;
}

/** The most stages that a chain may have, as the engines take them. */
const maxStages = 32;

/** Milliseconds of a hop inside a failure domain: its delay and the hand-over. */
const hopMs = 0.15;

/**
 * Milliseconds of a hop to another failure domain. Activations share one pipe
 * between two domains, which a few chains that cross it often fill.
 */
const farHopMs = 12;

/** Milliseconds of the way to a first server in another failure domain; only text goes there. */
const farEntryMs = 4;

/** Share of a server's room that one entry fills before it counts as full. */
const fullShare = 0.9;

/** Milliseconds a step that a full server costs: worse than any detour. */
const fullMs = 1_000;

interface Reached {
  readonly cost: Milliseconds;
  readonly position: number;
  readonly stage: ChainStage | undefined;
  readonly previous: Reached | undefined;
  readonly stages: number;
}

/** Chooses the chain with the least predicted time of a token. */
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

/** Takes the reached point of the lowest position. */
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

/** Says whether the chain uses the server already; engines refuse one that comes twice. */
const hasPassed = (reached: Reached, server: StageServer): boolean => {
  for (let at: Reached | undefined = reached; at; at = at.previous) {
    if (at.stage?.server === server) {
      return true;
    }
  }
  return false;
};

/** A stage ends where the server's layers do, or where a holder of later ones begins. */
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
