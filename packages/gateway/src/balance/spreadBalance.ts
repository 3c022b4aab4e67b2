/**
 * Spreads calls over all chains that are fast enough, by what servers and other gateways
 * tell of the load and by what this gateway observes of the pace of servers.
 */
import { hashText, type Milliseconds } from '@lycheetally/common';
import {
  LinkUse,
  SampledChain,
  estimateServerLoad,
  computeHopMs,
  updateRatios,
  firstEventShare,
  paceShare,
  type OthersInFlight,
  type StageLoad,
} from '@lycheetally/decisions';
import type { Server } from '../servers/server.js';
import {
  CallBalance,
  type BalancedCall,
  type BalancedChain,
  type CallNeeds,
  type GatewayCountSource,
} from './callBalance.js';

/** What the spread takes from the gateway. */
export interface SpreadSources {
  /** Name of the process; gateways draw different chains. */
  readonly ownId: string;
  readonly counts: GatewayCountSource;
  findServer(serverId: string): Server | undefined;
  /** What the other gateways reported for the server; absent without reports. */
  findOthers(server: Server): OthersInFlight | undefined;
  /** Called when the calls in flight have changed. */
  handleChanged(): void;
}

export class SpreadBalance extends CallBalance {
  override readonly chainPolicy: SampledChain;
  private readonly linkUse = new LinkUse();

  constructor(private readonly sources: SpreadSources) {
    super();
    this.chainPolicy = new SampledChain(hashText(sources.ownId));
  }

  override estimateLoad(server: Server, now: Milliseconds): StageLoad {
    const { gatewayCount, gatewaysPerDomain } = this.sources.counts;
    const { calls, layerTokens, told, stepTimeRatio } = server;
    return estimateServerLoad(
      {
        own: { calls, layerTokens },
        others: this.sources.findOthers(server),
        told,
        stepTimeRatio,
      },
      { all: gatewayCount, perDomain: gatewaysPerDomain },
      now,
    );
  }

  override describeNeeds(call: BalancedCall, now: Milliseconds): CallNeeds {
    const { model, targetMs, promptTokens } = call;
    const { counts } = this.sources;
    const { tokensPerEvent } = model;
    return {
      ...(promptTokens === undefined ? {} : { promptTokens }),
      ...(tokensPerEvent === undefined
        ? {}
        : { paceMs: (targetMs * paceShare) / tokensPerEvent }),
      firstEventMs: targetMs * firstEventShare,
      getLinkUse: (from, to) =>
        this.linkUse.estimate(from, to, counts.gatewayCount, now),
    };
  }

  override noteSent(
    { model, promptTokens }: BalancedCall,
    { stages }: BalancedChain,
    now: Milliseconds,
  ): void {
    const prompt = promptTokens ?? model.usual?.prompt ?? 0;
    const answer = model.usual?.answer ?? 0;
    this.linkUse.noteSent(model, stages, prompt + answer, now);
    this.sources.handleChanged();
  }

  override noteEnded(): void {
    this.sources.handleChanged();
  }

  override notePause(
    { model }: BalancedCall,
    { stages, stageMs }: BalancedChain,
    pauseMs: Milliseconds,
  ): void {
    const { tokensPerEvent } = model;
    if (tokensPerEvent === undefined || stageMs?.length !== stages.length) {
      return;
    }
    const servers = stages.map(({ server }) =>
      this.sources.findServer(server.serverId),
    );
    const paced = servers.map((server, at) => ({
      expectedMs: stageMs[at] ?? 0,
      ratio: server?.stepTimeRatio ?? 1,
    }));
    const tokenMs = pauseMs / tokensPerEvent - computeHopMs(stages);
    updateRatios(paced, tokenMs).forEach((ratio, at) => {
      const server = servers[at];
      if (server) {
        server.stepTimeRatio = ratio;
      }
    });
  }
}
