/** The configuration and the backend servers of a gateway, as decisions use them. */
import type { Milliseconds } from '@lycheetally/common';
import type { LayerRange, LayeredModel } from '../placement/types.js';
import type { DeclaredConfiguration } from './declaredConfiguration.js';
import type { RouteTable } from './routeTable.js';

/** A service that backend servers provide. */
export interface BackendService {
  readonly name: string;
  /** Path at which its servers answer questions about their health. */
  readonly healthPath: string;
  /** Set when its servers hold layers of one model. */
  readonly model: LayeredModel | undefined;
}

/** The client account that a key belongs to. */
export interface KeyHolder {
  readonly account: string;
  /** Overrides the route's urgency when set; 0 is the most urgent. */
  readonly urgency: number | undefined;
}

/** Limits on what callers send. */
export interface CallLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
}

/** A configuration in force. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: RouteTable;
  readonly services: ReadonlyMap<string, BackendService>;
  /** Holders by key; absent when calls need no key. */
  readonly keys: ReadonlyMap<string, KeyHolder> | undefined;
  readonly limits: CallLimits;
  /** What it was indexed from; checks see entries that the indexes hide. */
  readonly declared: DeclaredConfiguration;
}

/** A backend server as it announces itself. */
export interface BackendRecord {
  readonly serverId: string;
  readonly service: string;
  /** Address as `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Identifies the start of its process: its time by the clock of the VM, which may step back. */
  readonly incarnation: number;
  /** Number of the announcement; increases within an incarnation. */
  readonly sequence: number;
  /** Kind of accelerator; empty for plain services. */
  readonly kind: string;
  /** Layers that it holds. */
  readonly range: LayerRange | undefined;
}
