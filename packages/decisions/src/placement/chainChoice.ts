/**
 * Chooses the chain of backend servers that runs the layers of a request.
 *
 * A server may run any contiguous part of the layers that it holds, so a chain
 * can combine servers of different replicas when one replica loses a server.
 */
import type { Milliseconds } from '@lycheetally/common';
import {
  computeCacheCapacity,
  findAcceleratorKind,
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
  /** Layers to run; all layers of the model by default. */
  readonly layers?: LayerRange;
  /** Failure domain of the gateway that sends the request, or of the stage before these layers. */
  readonly homeDomain: string;
  /** KV cache tokens that the request may use. */
  readonly tokens: number;
  /** Servers that must not be used. */
  readonly excluded: ReadonlySet<string>;
  /** Servers that may only continue a chain, since they take no request now. */
  readonly notFirst?: ReadonlySet<string>;
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
const localHopMs = 0.15;

/**
 * Cost of a hop to another failure domain, in milliseconds. The activations of
 * all chains share one link between two domains, and a few chains that cross it
 * often saturate it.
 */
const crossDomainHopMs = 12;

/**
 * Cost of reaching a first server in another failure domain, in milliseconds.
 * Lower than a hop between stages, since only text is sent.
 */
const crossDomainEntryMs = 4;

/** Share of its KV cache that a server may use before it counts as full. */
const usableCacheShare = 0.9;

/** Penalty of a full server, in milliseconds per step; exceeds the cost of any detour. */
const fullServerMs = 1_000;

interface PartialChain {
  readonly cost: Milliseconds;
  readonly nextLayer: number;
  readonly stage: ChainStage | undefined;
  readonly previous: PartialChain | undefined;
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
    const layers = getLayers(request);
    const frontier = new Map<string, PartialChain>();
    const start: PartialChain = {
      cost: 0,
      nextLayer: layers.from,
      stage: undefined,
      previous: undefined,
      stages: 0,
    };
    let best: PartialChain | undefined;
    frontier.set('', start);
    for (
      let partial = takeShortest(frontier);
      partial;
      partial = takeShortest(frontier)
    ) {
      if (partial.nextLayer >= layers.to) {
        best = !best || partial.cost < best.cost ? partial : best;
        continue;
      }
      if (partial.stages < maxStages) {
        addExtensions(request, holders, partial, frontier);
      }
    }
    return best ? listStages(best) : undefined;
  }
}

const getLayers = ({ layers, model }: ChainRequest): LayerRange =>
  layers ?? { from: 0, to: model.layers };

/** Removes and returns the partial chain that has run the fewest layers. */
const takeShortest = (
  frontier: Map<string, PartialChain>,
): PartialChain | undefined => {
  let shortest: [string, PartialChain] | undefined;
  for (const entry of frontier) {
    if (!shortest || entry[1].nextLayer < shortest[1].nextLayer) {
      shortest = entry;
    }
  }
  if (shortest) {
    frontier.delete(shortest[0]);
  }
  return shortest?.[1];
};

const addExtensions = (
  request: ChainRequest,
  holders: readonly StageServer[],
  partial: PartialChain,
  frontier: Map<string, PartialChain>,
): void => {
  const { nextLayer } = partial;
  const lastLayer = getLayers(request).to;
  const candidates = holders.filter(
    server =>
      server.range &&
      server.range.from <= nextLayer &&
      nextLayer < server.range.to &&
      (nextLayer > 0 || request.notFirst?.has(server.serverId) !== true) &&
      !hasServer(partial, server),
  );
  for (const server of candidates) {
    for (const end of listStageEnds(holders, server, partial, lastLayer)) {
      const range = { from: nextLayer, to: end };
      const cost =
        partial.cost + computeStageCost(request, partial, server, range);
      const key = `${String(end)} ${server.failureDomain}`;
      const known = frontier.get(key);
      if (!known || cost < known.cost) {
        frontier.set(key, {
          cost,
          nextLayer: end,
          stage: { server, range },
          previous: partial,
          stages: partial.stages + 1,
        });
      }
    }
  }
};

/** Says whether the chain contains the server already; engines reject a server that appears twice. */
const hasServer = (chain: PartialChain, server: StageServer): boolean => {
  for (let at: PartialChain | undefined = chain; at; at = at.previous) {
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
const listStageEnds = (
  holders: readonly StageServer[],
  server: StageServer,
  { nextLayer: start }: PartialChain,
  lastLayer: number,
): number[] => {
  const ownEnd = Math.min(server.range?.to ?? start, lastLayer);
  const ends = new Set([ownEnd]);
  for (const { range } of holders) {
    if (
      range &&
      range.from > start &&
      range.from < ownEnd &&
      range.to > ownEnd
    ) {
      ends.add(range.from);
    }
  }
  return [...ends];
};

const computeStageCost = (
  request: ChainRequest,
  previous: PartialChain,
  server: StageServer,
  range: LayerRange,
): Milliseconds => {
  const { model, homeDomain } = request;
  const kind = findAcceleratorKind(model, server.kind);
  if (!kind || !server.range) {
    return fullServerMs;
  }
  const load = request.getLoad(server.serverId);
  const previousDomain = previous.stage?.server.failureDomain ?? homeDomain;
  const isFirst = previous.nextLayer === 0;
  const crossDomainMs = isFirst ? crossDomainEntryMs : crossDomainHopMs;
  const hopMs =
    previousDomain === server.failureDomain ? localHopMs : crossDomainMs;
  const layers = range.to - range.from;
  const capacity =
    computeCacheCapacity(model, kind, server.range) * usableCacheShare;
  const used = load.layerTokens + request.tokens * layers;
  const contextThousands = load.layerTokens / model.layers / contextUnitTokens;
  const stepMs =
    model.stepMs +
    contextThousands * model.stepMsPerContextK +
    load.firstStageRequests * model.stepMsPerRequest;
  const stageMs =
    (layers / model.layers) * kind.stepFactor * load.stepTimeRatio * stepMs;
  const isFull =
    used > capacity || (isFirst && load.firstStageRequests >= server.slots);
  return stageMs + hopMs + (isFull ? fullServerMs : 0);
};

const contextUnitTokens = 1_000;

const listStages = (end: PartialChain): ChainStage[] => {
  const stages: ChainStage[] = [];
  for (
    let at: PartialChain | undefined = end;
    at?.stage !== undefined;
    at = at.previous
  ) {
    stages.push(at.stage);
  }
  return stages.reverse();
};
