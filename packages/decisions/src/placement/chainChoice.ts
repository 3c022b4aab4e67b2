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

/** A chain and what is expected of it. */
export interface ChosenChain {
  /** They run each layer once and in order. */
  readonly stages: readonly ChainStage[];
  /** Predicted time per token, without what a lack of room costs, in milliseconds. */
  readonly tokenMs: Milliseconds;
  /** Whether each of its servers has room for the request; otherwise the request slows or displaces others. */
  readonly hasRoom: boolean;
  /** Time per token of each stage as expected of its kind of accelerator, from policies that take the observed pace into account. */
  readonly stageMs?: readonly Milliseconds[];
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
  /** Tokens of the prompt; the usual prompt of the model when absent. */
  readonly promptTokens?: number;
  /** Time per token up to which chains count as equally fast. */
  readonly paceMs?: Milliseconds;
  /** Time to the first event up to which chains count as equally fast. */
  readonly firstEventMs?: Milliseconds;
  /** Share of the link between two failure domains that is in use, from 0 to 1. */
  readonly getLinkUse?: (from: string, to: string) => number;
}

/** Strategy that chooses a chain. */
export abstract class ChainPolicy {
  /** Returns a chain that runs the layers, or `undefined` if there is none. */
  abstract chooseChain(request: ChainRequest): ChosenChain | undefined;
}

/** The longest chain that the engines accept, in stages. */
const maxStages = 32;

/** Network delay and handover of a hop within a failure domain, in milliseconds. */
export const localHopMs = 0.15;

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
export const crossDomainEntryMs = 4;

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
  /** Stages whose server is full. */
  readonly fullStages: number;
}

/** Chooses the chain with the lowest predicted time per token. */
export class CheapestChain extends ChainPolicy {
  override chooseChain(request: ChainRequest): ChosenChain | undefined {
    return findChain(request, new PredictedCosts(request));
  }
}

/** What a search minimizes; the sum over the hops and layers of a chain. */
export abstract class ChainCosts {
  abstract computeServerCosts(
    server: StageServer,
    range: LayerRange,
  ): ServerCosts;

  /** Computes the cost of a hop to a server that runs the layers from `nextLayer` on; `from` is the failure domain before it. */
  abstract computeHopCost(from: string, to: string, nextLayer: number): number;
}

/** Finds the chain with the lowest costs; its `tokenMs` is in the unit of the costs. */
export const findChain = (
  request: ChainRequest,
  costs: ChainCosts,
): ChosenChain | undefined => new ChainSearch(request, costs).run();

/** The predicted time per token, in milliseconds. */
export class PredictedCosts extends ChainCosts {
  constructor(private readonly request: ChainRequest) {
    super();
  }

  override computeServerCosts(
    server: StageServer,
    range: LayerRange,
  ): ServerCosts {
    return computeServerCosts(this.request, server, range);
  }

  override computeHopCost(
    from: string,
    to: string,
    nextLayer: number,
  ): Milliseconds {
    if (from === to) {
      return localHopMs;
    }
    return nextLayer === 0 ? crossDomainEntryMs : crossDomainHopMs;
  }
}

/** A server that holds layers, with the layers at which its stages may end. */
interface Holder {
  readonly server: StageServer;
  readonly range: LayerRange;
  /** The end of its range, and before it the start of each range that begins within it and reaches further. */
  readonly ends: readonly number[];
  readonly costs: ServerCosts;
}

/** What the cost of a stage depends on, of its server. */
export interface ServerCosts {
  /** Cost of each layer; the predicted time of a step, in milliseconds, when time is minimized. */
  readonly layerMs: Milliseconds;
  /** Tokens times layers for which its KV cache has room. */
  readonly room: number;
  /** Whether it takes no further request as the first stage. */
  readonly isCrowded: boolean;
}

/**
 * One search, layer by layer: of the partial chains that end at the same layer in the same
 * failure domain, the cheapest is kept. What depends on a server or a layer alone is
 * computed once.
 */
class ChainSearch {
  private readonly layers: LayerRange;
  private readonly holders: readonly Holder[];
  /** Partial chains by their next layer and their last failure domain. */
  private readonly frontier = new Map<number, Map<string, PartialChain>>();

  constructor(
    private readonly request: ChainRequest,
    private readonly costs: ChainCosts,
  ) {
    const { model, layers = { from: 0, to: model.layers } } = request;
    this.layers = layers;
    this.holders = listHolders(request, costs, layers.to);
  }

  run(): ChosenChain | undefined {
    const { from, to } = this.layers;
    const start = {
      cost: 0,
      stage: undefined,
      previous: undefined,
      stages: 0,
      fullStages: 0,
    };
    this.frontier.set(from, new Map([['', { ...start, nextLayer: from }]]));
    for (let layer = from; layer < to; layer += 1) {
      const partials = this.frontier.get(layer);
      if (partials) {
        const candidates = this.listCandidates(layer);
        for (const partial of partials.values()) {
          this.addExtensions(partial, candidates);
        }
      }
    }
    const ends = [...(this.frontier.get(to)?.values() ?? [])];
    const best = ends.reduce<PartialChain | undefined>(
      (cheapest, each) =>
        cheapest && cheapest.cost <= each.cost ? cheapest : each,
      undefined,
    );
    return (
      best && {
        stages: listStages(best),
        tokenMs: best.cost - best.fullStages * fullServerMs,
        hasRoom: best.fullStages === 0,
      }
    );
  }

  /** Lists the servers that may run a stage from the layer on. */
  private listCandidates(layer: number): readonly Holder[] {
    const { notFirst } = this.request;
    return this.holders.filter(
      ({ server, range }) =>
        range.from <= layer &&
        layer < range.to &&
        (layer > 0 || notFirst?.has(server.serverId) !== true),
    );
  }

  private addExtensions(
    partial: PartialChain,
    candidates: readonly Holder[],
  ): void {
    if (partial.stages >= maxStages) {
      return;
    }
    for (const holder of candidates) {
      if (!hasServer(partial, holder.server)) {
        for (const end of holder.ends) {
          if (end > partial.nextLayer) {
            this.addStage(partial, holder, end);
          }
        }
      }
    }
  }

  private addStage(
    partial: PartialChain,
    { server, costs }: Holder,
    end: number,
  ): void {
    const range = { from: partial.nextLayer, to: end };
    const { homeDomain, tokens } = this.request;
    const isFull = isStageFull(costs, range, tokens);
    const cost =
      partial.cost +
      this.costs.computeHopCost(
        partial.stage?.server.failureDomain ?? homeDomain,
        server.failureDomain,
        partial.nextLayer,
      ) +
      computeStageCost(costs, range, isFull);
    const partials = this.frontier.get(end) ?? new Map<string, PartialChain>();
    const known = partials.get(server.failureDomain);
    if (!known || cost < known.cost) {
      this.frontier.set(end, partials);
      partials.set(server.failureDomain, {
        cost,
        nextLayer: end,
        stage: { server, range },
        previous: partial,
        stages: partial.stages + 1,
        fullStages: partial.fullStages + Number(isFull),
      });
    }
  }
}

const listHolders = (
  request: ChainRequest,
  costs: ChainCosts,
  lastLayer: number,
): readonly Holder[] => {
  const holders = request.servers.flatMap(server =>
    server.range && !request.excluded.has(server.serverId)
      ? [{ server, range: server.range }]
      : [],
  );
  return holders.map(({ server, range }) => ({
    server,
    range,
    ends: listStageEnds(range, holders, lastLayer),
    costs: costs.computeServerCosts(server, range),
  }));
};

const listStageEnds = (
  { from, to }: LayerRange,
  holders: readonly Pick<Holder, 'range'>[],
  lastLayer: number,
): readonly number[] => {
  const ownEnd = Math.min(to, lastLayer);
  const ends = new Set([ownEnd]);
  for (const { range } of holders) {
    if (range.from > from && range.from < ownEnd && range.to > ownEnd) {
      ends.add(range.from);
    }
  }
  return [...ends];
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

/** A server whose kind the model doesn't know counts as full. */
const unknownCosts: ServerCosts = { layerMs: 0, room: -1, isCrowded: false };

/** Predicts the time of a step for each layer, and the room of the server. */
export const computeServerCosts = (
  { model, getLoad }: ChainRequest,
  server: StageServer,
  range: LayerRange,
): ServerCosts => {
  const kind = findAcceleratorKind(model, server.kind);
  if (!kind) {
    return unknownCosts;
  }
  const load = getLoad(server.serverId);
  const capacity = computeCacheCapacity(model, kind, range) * usableCacheShare;
  const contextThousands = load.layerTokens / model.layers / contextUnitTokens;
  const stepMs =
    model.stepMs +
    contextThousands * model.stepMsPerContextK +
    load.firstStageRequests * model.stepMsPerRequest;
  return {
    layerMs: (kind.stepFactor * load.stepTimeRatio * stepMs) / model.layers,
    room: capacity - load.layerTokens,
    isCrowded: load.firstStageRequests >= server.slots,
  };
};

/** Says whether the server lacks room for the tokens in these layers, or takes no further first stage. */
export const isStageFull = (
  { room, isCrowded }: ServerCosts,
  { from, to }: LayerRange,
  tokens: number,
): boolean => tokens * (to - from) > room || (from === 0 && isCrowded);

const computeStageCost = (
  { layerMs }: ServerCosts,
  { from, to }: LayerRange,
  isFull: boolean,
): Milliseconds => layerMs * (to - from) + (isFull ? fullServerMs : 0);

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
