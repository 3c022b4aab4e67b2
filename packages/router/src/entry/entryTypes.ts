/** What an entry is given: events, ports, settings and addresses. */
import type { Address, Result, TypedError } from '@lycheetally/common';
import type { GatherPolicy, SnapshotPolicy } from '@lycheetally/decisions';
import type { RefusedCall } from '../adapters/callersHttp.js';
import type { ClaimLogEvents, ClaimSettings } from '../claims/claimBook.js';
import type { FollowerEvent } from '../config/configFollower.js';
import type { CallerCall, CallerExchange } from '../ports/callerExchange.js';
import type { LogPort, VmListPort, VmRecord } from '../ports/platform.js';
import type { NodeEvents, NodePorts, NodeSettings } from '../routerNode.js';
import type { EntryPolicies } from './requestContext.js';

/** Events that an entry takes. */
export interface EntryEvents extends NodeEvents, ClaimLogEvents {
  callReceived: { call: CallerCall; exchange: CallerExchange };
  callRefused: { call: RefusedCall; error: TypedError };
  callerGone: { exchange: CallerExchange };
  followerEvent: { event: FollowerEvent };
  vmListRead: { list: Result<readonly VmRecord[]> };
}

/** Ports that an entry is given. */
export interface EntryPorts extends NodePorts {
  readonly log: LogPort;
  readonly vmList: VmListPort;
  readonly policies: EntryPolicies;
  readonly gathering: GatherPolicy;
  /** Says when the configuration's stream gets a snapshot. */
  readonly snapshots: SnapshotPolicy;
}

export interface EntrySettings extends NodeSettings {
  /** The largest body that a caller may send, in bytes. */
  readonly maxBodyBytes: number;
  /** The most backend servers that the entry keeps connections to. */
  readonly maxServers: number;
  readonly claims?: ClaimSettings;
}

/** Addresses that an entry listens on. */
export interface EntryAddresses {
  readonly callers: Address;
  readonly operators: Address;
  /** Where agents may announce themselves; absent when they may not. */
  readonly peers?: Address | undefined;
}
