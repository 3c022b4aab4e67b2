/**
 * Spreads calls over the chains that are fast enough.
 *
 * Load pattern: dozens of gateways see nearly the same load, so that the lowest predicted
 * time leads all of them to one chain, and the loss of two of its servers hits most
 * streams. Here each call draws a few chains, servers in proportion to their free room, and
 * takes the one whose busiest server has most room left. Chains that meet the pace of the
 * route are equally good. A chain stays within a failure domain where one exists there.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import {
  ChainPolicy,
  CheapestChain,
  computeServerCosts,
  findChain,
  isStageFull,
  type ChainRequest,
  type ChosenChain,
} from '../placement/chainChoice.js';
import type { StageServer } from '../placement/types.js';
import { measureChain, type MeasuredChain } from './chainUse.js';
import { homeDraws, mixedDraws, otherDraws } from './constants.js';
import { DrawnCosts } from './drawnCosts.js';
import { drawHolders } from './holderSample.js';

export class SampledChain extends ChainPolicy {
  private readonly random: RandomGenerator;
  private readonly everyServer = new CheapestChain();

  constructor(seed: number) {
    super();
    this.random = xoroshiro128plus(seed);
  }

  override chooseChain(request: ChainRequest): ChosenChain | undefined {
    const { homeDomain } = request;
    const drawn: MeasuredChain[] = [];
    const draw = (isWanted: (server: StageServer) => boolean): void => {
      const chain = this.drawChain(request, isWanted);
      if (chain) {
        drawn.push(chain);
      }
    };
    for (let draws = 0; draws < homeDraws; draws += 1) {
      draw(({ failureDomain }) => failureDomain === homeDomain);
    }
    for (let draws = 0; draws < otherDraws; draws += 1) {
      const other = this.drawDomain(request);
      if (other !== undefined) {
        draw(({ failureDomain }) => failureDomain === other);
      }
    }
    for (let draws = 0; draws < mixedDraws && !hasRoom(drawn); draws += 1) {
      draw(server => mayHaveRoom(request, server));
    }
    if (drawn.length === 0) {
      draw(() => true);
    }
    return findBest(drawn) ?? this.chooseAmongAll(request);
  }

  /** Draws a failure domain other than the home domain, by the number of its servers. */
  private drawDomain({
    servers,
    homeDomain,
  }: ChainRequest): string | undefined {
    for (let probes = 0; probes < maxDomainProbes; probes += 1) {
      const at = uniformInt(this.random, 0, Math.max(0, servers.length - 1));
      const domain = servers[at]?.failureDomain;
      if (domain !== homeDomain) {
        return domain;
      }
    }
    return undefined;
  }

  private drawChain(
    request: ChainRequest,
    isWanted: (server: StageServer) => boolean,
  ): MeasuredChain | undefined {
    const servers = drawHolders(request, isWanted, this.random);
    const sampled = { ...request, servers };
    const chain = findChain(sampled, new DrawnCosts(sampled, this.random));
    return chain && measureChain(request, chain.stages);
  }

  /** Searches all servers, for fleets in which few hold some layer. */
  private chooseAmongAll(request: ChainRequest): ChosenChain | undefined {
    const chain = this.everyServer.chooseChain(request);
    return chain && measureChain(request, chain.stages);
  }
}

/** Probes for a server of another domain; with three equal domains, one in a thousand calls finds none. */
const maxDomainProbes = 6;

/** Says whether the server has room for at least one layer of the request; a draw among these finds a chain with room even where most servers are full. */
const mayHaveRoom = (request: ChainRequest, server: StageServer): boolean => {
  const { range } = server;
  if (!range) {
    return false;
  }
  const oneLayer = { from: range.from, to: range.from + 1 };
  const costs = computeServerCosts(request, server, range);
  return !isStageFull(costs, oneLayer, request.tokens);
};

const hasRoom = (chains: readonly MeasuredChain[]): boolean =>
  chains.some(chain => chain.hasRoom);

const findBest = (
  chains: readonly MeasuredChain[],
): MeasuredChain | undefined =>
  chains.reduce<MeasuredChain | undefined>(
    (best, each) => (best && best.cost <= each.cost ? best : each),
    undefined,
  );
