/** Events, ports, settings and addresses of an entry. */
import type { Address, Result, TypedError } from '@lycheetally/common';
import type { AppendBatchPolicy, SnapshotPolicy } from '@lycheetally/decisions';
import type { RefusedCall } from '../adapters/callersHttp.js';
import type { ClaimLogEvents, ClaimSettings } from '../claims/claimLog.js';
import type { ConfigFollowerEvent } from '../config/configFollower.js';
import type { CallerCall, CallerExchange } from '../ports/callerExchange.js';
import type { LogPort, VmListPort, VmRecord } from '../ports/platform.js';
import type { NodeEvents, NodePorts, NodeSettings } from '../routerNode.js';
import type { EntryPolicies } from './requestContext.js';

/** Events that the event loop of an entry handles. */
export interface EntryEvents extends NodeEvents, ClaimLogEvents {
  callReceived: { call: CallerCall; exchange: CallerExchange };
  callRefused: { call: RefusedCall; error: TypedError };
  callerGone: { exchange: CallerExchange };
  responseEnded: object;
  followerEvent: { event: ConfigFollowerEvent };
  vmListRead: { list: Result<readonly VmRecord[]> };
}

/** Ports and policies that an entry depends on. */
export interface EntryPorts extends NodePorts {
  readonly log: LogPort;
  readonly vmList: VmListPort;
  readonly policies: EntryPolicies;
  /** Decides how claim records are batched into appends. */
  readonly appendBatching: AppendBatchPolicy;
  /** Decides when a snapshot is appended to the configuration stream. */
  readonly snapshots: SnapshotPolicy;
}

export interface EntrySettings extends NodeSettings {
  /** Maximum size of a call's body, in bytes. */
  readonly maxBodyBytes: number;
  /** Maximum number of backend servers that the entry connects to. */
  readonly maxServers: number;
  readonly claims?: ClaimSettings;
}

/** Addresses that an entry listens on. */
export interface EntryAddresses {
  readonly callers: Address;
  readonly operators: Address;
  /** Port at which agents announce themselves; `undefined` when they may not. */
  readonly peers?: Address | undefined;
}
