/**
 * Draws a few holders of each layer at random.
 *
 * Load pattern: thousands of servers, of which any few dozen make a chain. The draw looks at
 * servers in random order until each layer has enough holders, so its cost depends on the
 * layers and not on the size of the fleet.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { ChainRequest } from '../placement/chainChoice.js';
import type { LayerRange, StageServer } from '../placement/types.js';
import { holdersPerLayer, maxProbes } from './constants.js';

/** Returns servers that hold layers of the request; some layers may have no holder among them. */
export const drawHolders = (
  request: ChainRequest,
  isWanted: (server: StageServer) => boolean,
  random: RandomGenerator,
): readonly StageServer[] => {
  const { servers, excluded } = request;
  const lacking = new LackingLayers(request);
  const order = new RandomOrder(servers.length, random);
  const drawn: StageServer[] = [];
  const probes = Math.min(maxProbes, servers.length);
  for (let probe = 0; probe < probes && lacking.count > 0; probe += 1) {
    const server = servers[order.take()];
    if (
      server?.range &&
      isWanted(server) &&
      !excluded.has(server.serverId) &&
      lacking.take(server.range, mayBeFirst(request, server))
    ) {
      drawn.push(server);
    }
  }
  return drawn;
};

const mayBeFirst = (
  { notFirst }: ChainRequest,
  { serverId }: StageServer,
): boolean => notFirst?.has(serverId) !== true;

/** The layers that have too few holders yet. */
class LackingLayers {
  private readonly holders: Uint8Array;
  private readonly from: number;
  private readonly to: number;
  /** Layers with too few holders. */
  count: number;

  constructor({ model, layers }: ChainRequest) {
    this.from = layers?.from ?? 0;
    this.to = layers?.to ?? model.layers;
    this.holders = new Uint8Array(this.to);
    this.count = this.to - this.from;
  }

  /** Counts a holder of the range; returns whether one of its layers lacked it. */
  take(range: LayerRange, isFirst: boolean): boolean {
    const from = Math.max(range.from, this.from, isFirst ? 0 : 1);
    const to = Math.min(range.to, this.to);
    let isNeeded = false;
    for (let layer = from; layer < to; layer += 1) {
      const known = this.holders[layer] ?? 0;
      this.holders[layer] = Math.min(holdersPerLayer, known + 1);
      isNeeded ||= known < holdersPerLayer;
      this.count -= Number(known === holdersPerLayer - 1);
    }
    return isNeeded;
  }
}

/** Takes each of the numbers below `size` once, in random order; memory grows with what was taken. */
class RandomOrder {
  private readonly moved = new Map<number, number>();
  private taken = 0;

  constructor(
    private readonly size: number,
    private readonly random: RandomGenerator,
  ) {}

  take(): number {
    const at = this.taken;
    const other = uniformInt(this.random, at, this.size - 1);
    const value = this.moved.get(other) ?? other;
    this.moved.set(other, this.moved.get(at) ?? at);
    this.taken += 1;
    return value;
  }
}
