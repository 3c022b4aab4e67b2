/** The plain values that decisions are made from. */
import type { Milliseconds, ValueOf } from '@lycheetally/common';
import type { AccountLimit } from './admit/accountLimits.js';

export const ServiceKind = { Model: 'model', Plain: 'plain' } as const;
export type ServiceKind = ValueOf<typeof ServiceKind>;

/** A rank of work; a lower urgency number is served first. */
export interface RankRule {
  readonly name: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Share of capacity that the rank keeps in a flood, from 0 to 1. */
  readonly floor: number;
  /** Target for the first token or the answer, in milliseconds. */
  readonly targetMs: number;
}

/** A client account. */
export interface AccountRule {
  readonly name: string;
  /** Salt and SHA-256 of the bearer key, as `salt:hex`. */
  readonly keyHash: string;
  readonly weight: number;
  /** Limits by rank; a rank without one is not limited. */
  readonly limits?: readonly AccountLimit[] | undefined;
}

/** A service that callers reach. */
export interface ServiceRule {
  readonly name: string;
  readonly kind: ServiceKind;
  /** Number of layers of a model; 0 for a plain service. */
  readonly layers: number;
  /** Says whether a call may be run again after it may have run. */
  readonly idempotent: boolean;
  readonly accounts: readonly string[];
  /** Says whether its backend servers refuse orders with old fencing numbers. */
  readonly checksFencing?: boolean | undefined;
  /** Number of backend servers that the service is meant to have. */
  readonly workers?: number | undefined;
}

/** A failure domain that the system runs in. */
export interface FailureDomainRule {
  readonly name: string;
  readonly region: string;
}

/** A configuration in force. */
export interface RouterConfiguration {
  readonly version: number;
  readonly ranks: readonly RankRule[];
  readonly accounts: readonly AccountRule[];
  readonly services: readonly ServiceRule[];
  readonly failureDomains?: readonly FailureDomainRule[] | undefined;
}

/** A backend server as an entry knows it. */
export interface ServerView {
  readonly serverId: string;
  /** Address of its agent, as `host:port`. */
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
  /** Pieces of work that this entry has there. */
  readonly outstanding: number;
  /** Kind of accelerator; servers of one kind and range are siblings. */
  readonly accelerator?: string | undefined;
}

/** What a decision knows of a request. */
export interface RequestView {
  readonly requestId: string;
  readonly account: string;
  readonly rank: string;
  readonly service: string;
  readonly deadlineAt: Milliseconds;
  readonly isRepeatable: boolean;
  /** Attempts made so far. */
  readonly attempts: number;
  /** Servers that refused or failed this request. */
  readonly avoided: readonly string[];
  /** Urgency of the rank; 0 is the most urgent. */
  readonly urgency?: number | undefined;
  /** Weight of the account; 1 when absent. */
  readonly accountWeight?: number | undefined;
  /** Target of the rank for the first token or the answer, in milliseconds. */
  readonly targetMs?: number | undefined;
  /** Estimated cost in token units. */
  readonly cost?: number | undefined;
  /** Estimated prompt tokens of a model's request. */
  readonly promptTokens?: number | undefined;
  /** The most tokens that may be generated. */
  readonly maxTokens?: number | undefined;
  /** Hash of the beginning of the prompt, for prefix affinity. */
  readonly prefixHash?: number | undefined;
}
