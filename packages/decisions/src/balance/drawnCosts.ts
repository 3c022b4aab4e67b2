/**
 * Costs of a search that draws a chain at random, each server in proportion to its free room.
 *
 * An exponential variable divided by a weight is the lowest of several with a probability
 * in proportion to the weight, so that gateways with the same view choose different servers.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import {
  ChainCosts,
  computeServerCosts,
  type ChainRequest,
  type ServerCosts,
} from '../placement/chainChoice.js';
import type { LayerRange, StageServer } from '../placement/types.js';
import {
  crossingCost,
  fullUse,
  minWeight,
  slowServerWeight,
  stageCost,
} from './constants.js';
import {
  computeCrossingMs,
  computeReadMs,
  getPace,
  isLinkFull,
} from './chainUse.js';

export class DrawnCosts extends ChainCosts {
  private readonly known = new Map<StageServer, ServerCosts>();
  private readonly largestRoom: number;
  private readonly paceMs: number;

  constructor(
    private readonly request: ChainRequest,
    private readonly random: RandomGenerator,
  ) {
    super();
    this.paceMs = getPace(request);
    let largest = 1;
    for (const server of request.servers) {
      if (server.range) {
        const costs = computeServerCosts(request, server, server.range);
        this.known.set(server, costs);
        largest = Math.max(largest, computeTokenRoom(costs, server.range));
      }
    }
    this.largestRoom = largest;
  }

  override computeServerCosts(
    server: StageServer,
    range: LayerRange,
  ): ServerCosts {
    const { request, paceMs, random } = this;
    const { layers } = request.model;
    const costs =
      this.known.get(server) ?? computeServerCosts(request, server, range);
    const { stepTimeRatio } = request.getLoad(server.serverId);
    const room = computeTokenRoom(costs, range) / this.largestRoom;
    const weight = Math.max(minWeight, room) / Math.max(1, stepTimeRatio);
    const drawn = -Math.log(1 - uniformFloat64(random)) / weight;
    const wholeModel = { from: 0, to: layers };
    const readMs = computeReadMs(request, { server, range: wholeModel });
    const slowness = Math.max(
      0,
      (costs.layerMs * layers) / paceMs - 1,
      readMs / (request.firstEventMs ?? Infinity) - 1,
    );
    return {
      ...costs,
      layerMs: (drawn + slowness * slowServerWeight) / layers,
    };
  }

  override computeHopCost(from: string, to: string, nextLayer: number): number {
    if (from === to || nextLayer === 0) {
      return stageCost;
    }
    const crossingMs = computeCrossingMs(this.request, from, to);
    return (
      stageCost +
      crossingCost +
      crossingMs / this.paceMs +
      (isLinkFull(this.request, from, to) ? fullUse : 0)
    );
  }
}

/** Tokens that fit into each layer of the range beside those in use. */
const computeTokenRoom = (
  { room }: ServerCosts,
  { from, to }: LayerRange,
): number => room / (to - from);
