/** How a gateway spreads its calls over servers: which policy chooses chains, and what it is told of their load. */
import type { Milliseconds } from '@lycheetally/common';
import {
  CheapestChain,
  type ChainPolicy,
  type ChainRequest,
  type ChainStage,
  type LayeredModel,
  type StageLoad,
} from '@lycheetally/decisions';
import type { Server } from '../servers/server.js';

/** What the spread depends on, of a call. */
export interface BalancedCall {
  readonly model: LayeredModel;
  /** Latency target of its route. */
  readonly targetMs: Milliseconds;
  readonly promptTokens: number | undefined;
}

/** The chain of an attempt as the policy chose it. */
export interface BalancedChain {
  readonly stages: readonly ChainStage[];
  /** Predicted time per token of each stage; absent where no pace is observed. */
  readonly stageMs: readonly Milliseconds[] | undefined;
}

/** What the policy takes beside the servers and the call's tokens. */
export type CallNeeds = Pick<
  ChainRequest,
  'promptTokens' | 'paceMs' | 'firstEventMs' | 'getLinkUse'
>;

export abstract class CallBalance {
  abstract readonly chainPolicy: ChainPolicy;

  abstract estimateLoad(server: Server, now: Milliseconds): StageLoad;

  abstract describeNeeds(call: BalancedCall, now: Milliseconds): CallNeeds;

  /** Records that a call was sent to the chain. */
  abstract noteSent(
    call: BalancedCall,
    chain: BalancedChain,
    now: Milliseconds,
  ): void;

  /** Handles that a call has ended at its servers. */
  abstract noteEnded(): void;

  /** Records a pause between two events of a stream that runs on the chain. */
  abstract notePause(
    call: BalancedCall,
    chain: BalancedChain,
    pauseMs: Milliseconds,
  ): void;
}

/** How many gateways share the servers, as the registry knows it. */
export interface GatewayCountSource {
  /** Estimated number of all gateways. */
  readonly gatewayCount: number;
  /** Estimated number of gateways that use the servers of a failure domain. */
  readonly gatewaysPerDomain: number;
}

/** Takes the chain with the lowest predicted time, and assumes that each gateway of a domain sends as much as this one. */
export class CheapestBalance extends CallBalance {
  override readonly chainPolicy = new CheapestChain();

  constructor(private readonly counts: GatewayCountSource) {
    super();
  }

  override estimateLoad(server: Server): StageLoad {
    return server.estimateLoad(this.counts.gatewaysPerDomain);
  }

  override describeNeeds(): CallNeeds {
    return {};
  }

  override noteSent(): void {
    // The choice doesn't depend on links.
  }

  override noteEnded(): void {
    // Nobody is told of the calls.
  }

  override notePause(): void {
    // The choice takes each server for as fast as its kind.
  }
}
