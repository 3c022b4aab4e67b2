/** Data types that the decisions take as input. */
import type { Milliseconds, ValueOf } from '@lycheetally/common';
import type { AccountLimit } from './admit/accountLimits.js';

export const ServiceKind = { Model: 'model', Plain: 'plain' } as const;
export type ServiceKind = ValueOf<typeof ServiceKind>;

/** A priority class of requests. */
export interface RankRule {
  readonly name: string;
  /** Ranks with a lower number are served first; 0 is the most urgent. */
  readonly urgency: number;
  /** Share of capacity guaranteed to the rank under overload, from 0 to 1. */
  readonly floor: number;
  /** Latency target for the first token of a stream or for the whole response, in milliseconds. */
  readonly targetMs: number;
}

/** A client account. */
export interface AccountRule {
  readonly name: string;
  /** Salt and SHA-256 hash of the bearer key, as `salt:hex`. */
  readonly keyHash: string;
  readonly weight: number;
  /** Rate limits by rank; a rank without one is not limited. */
  readonly limits?: readonly AccountLimit[] | undefined;
}

/** A service that clients can call. */
export interface ServiceRule {
  readonly name: string;
  readonly kind: ServiceKind;
  /** Number of layers of a model; 0 for a plain service. */
  readonly layers: number;
  /** Whether a call may be run again when it is unknown if it has already run. */
  readonly idempotent: boolean;
  readonly accounts: readonly string[];
  /** Whether its backend servers reject orders with an outdated fencing token. */
  readonly checksFencing?: boolean | undefined;
  /** Target number of backend servers of the service. */
  readonly workers?: number | undefined;
}

/** A failure domain that the system runs in. */
export interface FailureDomainRule {
  readonly name: string;
  readonly region: string;
}

/** One version of the configuration. */
export interface RouterConfiguration {
  readonly version: number;
  readonly ranks: readonly RankRule[];
  readonly accounts: readonly AccountRule[];
  readonly services: readonly ServiceRule[];
  readonly failureDomains?: readonly FailureDomainRule[] | undefined;
}

/** An entry's view of a backend server. */
export interface ServerView {
  readonly serverId: string;
  /** Address of the server's agent, as `host:port`. */
  readonly agentAddress: string;
  readonly incarnation: string;
  readonly service: string;
  readonly kind: ServiceKind;
  /** First layer held, counted from 0. */
  readonly layerFrom: number;
  /** One past the last layer held. */
  readonly layerTo: number;
  readonly failureDomain: string;
  readonly isConnected: boolean;
  readonly isLeaving: boolean;
  /** Number of unfinished requests that this entry has sent to the server. */
  readonly outstanding: number;
  /** Accelerator type. Servers with the same type and layer range are siblings. */
  readonly accelerator?: string | undefined;
}

/** The properties of a request that decisions depend on. */
export interface RequestView {
  readonly requestId: string;
  readonly account: string;
  readonly rank: string;
  readonly service: string;
  readonly deadlineAt: Milliseconds;
  readonly isRepeatable: boolean;
  /** Number of attempts made so far. */
  readonly attempts: number;
  /** Ids of the servers that refused or failed this request. */
  readonly avoided: readonly string[];
  /** Urgency of the rank; 0 is the most urgent. */
  readonly urgency?: number | undefined;
  /** Weight of the account; 1 when absent. */
  readonly accountWeight?: number | undefined;
  /** Latency target of the rank; see `RankRule.targetMs`. */
  readonly targetMs?: number | undefined;
  /** Estimated cost in token units. */
  readonly cost?: number | undefined;
  /** Estimated number of prompt tokens; only for models. */
  readonly promptTokens?: number | undefined;
  /** Maximum number of tokens to generate. */
  readonly maxTokens?: number | undefined;
  /** Hash of the start of the prompt, for prefix affinity. */
  readonly prefixHash?: number | undefined;
}
