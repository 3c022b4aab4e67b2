/** Interfaces that a gateway needs from the platform. An adapter implements them with the platform's names and formats. */
import {
  Emitter,
  type Milliseconds,
  type Result,
  type ValueOf,
} from '@lycheetally/common';
import type {
  ChainStage,
  LayerRange,
  StorePosition,
} from '@lycheetally/decisions';

/** A key of a table and the text of its value; without a value the key was removed. */
export interface KeyedText {
  readonly key: string;
  readonly value: string | undefined;
}

/** A record of a table. */
export interface RawRecord extends KeyedText {
  /** Position in the table's log; a record with a later one was written later. */
  readonly position: StorePosition;
}

/** A decoded record; without a value the key was removed or the value cannot be read. */
export interface TableRecord<T> {
  readonly key: string;
  /** Position in the table's log; a record with a later one was written later. */
  readonly position: StorePosition;
  readonly value: T | undefined;
  /** Why the value cannot be read; such a record is ignored. */
  readonly fault?: string | undefined;
}

/** Decodes a value. A thrown error is reported as the record's fault; `undefined` means that the key is not used. */
export type ValueDecoder<T> = (key: string, text: string) => T | undefined;

/** Records of a table, and the position at which the next read begins. */
export interface TableBatch {
  readonly records: readonly RawRecord[];
  readonly next: StorePosition;
  /** Whether the records are all up to the end of the table; otherwise more of them follow, and nothing is confirmed. */
  readonly reachesEnd: boolean;
  /** Whether the store no longer has the records after the position; the era of `next` holds all the same. */
  readonly isTrimmed: boolean;
  /** Milliseconds from sending the read to the moment as of which the records are the newest; negative if another gateway read them before. */
  readonly confirmedAfterMs: Milliseconds;
  /** Whether the answer was held until there was something new, so that the next read may follow at once. */
  readonly isHeld: boolean;
}

/** Tells which of its histories the store answers from. */
export abstract class StoreHistoryPort {
  /** Emits the era of each answer, also of a refusal; it rises when the store comes back from an older copy. */
  readonly eraSeen = new Emitter<number>();
}

/** One table of the platform's store. Every call fails with `PlatformUnavailable`. */
export abstract class TablePort {
  /** Reads the newest value of each key, as of a position that the caller has read up to, or later. */
  abstract readNewest(from: StorePosition): Promise<Result<TableBatch>>;
  /** Reads changes from a position on; waits up to `waitMs` for the first. */
  abstract readChanges(
    from: StorePosition,
    waitMs: Milliseconds,
  ): Promise<Result<TableBatch>>;
}

/** A table of the store that gateways write. Fails with `PlatformUnavailable`; the value may be written all the same. */
export abstract class TableWriterPort {
  abstract writeValue(key: string, text: string): Promise<Result<void>>;
}

/** Result of joining the group that elects the leader. */
export interface LeaderGrant {
  readonly isLeader: boolean;
  /** This member's share of the group, from 0 to 1. */
  readonly share: number;
  /** Fencing token of the grant; a later one is larger. */
  readonly fencingToken: number;
}

/** A group of gateways that elects a leader. Joining again renews the lease. Fails with `PlatformUnavailable`. */
export abstract class LeaderElectionPort {
  /** Emits when the history that the grant belongs to was replaced; the member joins afresh. */
  readonly grantEnded = new Emitter<void>();

  abstract join(leaseMs: Milliseconds): Promise<Result<LeaderGrant>>;
  /** May be repeated, also by a gateway that is no member. Fails with `PlatformUnavailable`; it may have left all the same. */
  abstract leave(): Promise<Result<void>>;
}

/** An order to load layers. */
export interface PlacementOrder {
  readonly serverId: string;
  readonly address: string;
  readonly range: LayerRange;
  /** Orders that the server must have begun so far; otherwise it refuses this one. */
  readonly expectedOrders: number;
  readonly fencingToken: number;
}

/** Why a server did not begin an order. */
export const OrderRefusal = {
  /** It is still carrying out another order. */
  Busy: 'busy',
  /** The order does not fit its state, or it has begun another one since its report. */
  Conflict: 'conflict',
  /** It holds other layers than its entry says, so the order was planned on old news. */
  Outdated: 'outdated',
  /** It has seen an order with a larger fencing token. */
  Fenced: 'fenced',
  /** Another server has the address now. */
  Misdirected: 'misdirected',
  /** It takes no orders now. */
  Unavailable: 'unavailable',
  /** It does not know such an order. */
  Unsupported: 'unsupported',
} as const;
export type OrderRefusal = ValueOf<typeof OrderRefusal>;

/** A server's answer to an order. */
export interface OrderAnswer {
  /** Absent if the server has begun the order or has the layers already. */
  readonly refusal: OrderRefusal | undefined;
  /** What the server answered, for the log. */
  readonly detail: string;
}

/** A new chain for a request that its first server is running. */
export interface ChainUpdate {
  /** Address of the first server, which stays the first. */
  readonly address: string;
  readonly requestId: string;
  readonly chain: readonly ChainStage[];
}

/** A first server's answer to a new chain. */
export interface ChainUpdateAnswer {
  readonly isAccepted: boolean;
  /** Address of the server that cannot run its part, if the answer names one. */
  readonly refusedBy?: string | undefined;
}

/** What a server says that it holds; it has no range while it holds nothing or carries out an order. */
export interface HeldLayers {
  readonly range: LayerRange | undefined;
}

/** A server's report on its work. */
export interface ServerReport {
  /** Orders that the server has begun since its start. */
  readonly orders: number;
  /** Whether it is carrying out an order. */
  readonly isBusy: boolean;
  /** The layers that it holds; absent if the report doesn't say. */
  readonly held?: HeldLayers;
  /** Requests whose chain has stalled, with the address of the server at fault. */
  readonly stalled: readonly StalledRequest[];
}

export interface StalledRequest {
  readonly requestId: string;
  readonly address: string;
}

/** Which connection a request to a server uses. */
export const ConnectionUse = {
  /** An idle one if there is one; a failure may be that of the connection. */
  Kept: 'kept',
  New: 'new',
} as const;
export type ConnectionUse = ValueOf<typeof ConnectionUse>;

/** What a server says of itself when it is asked for its health. */
export interface ServerHealth {
  /** Id of the server that answered, which may be another one at the address. */
  readonly serverId: string;
  /** Whether the server considers itself healthy and stays. */
  readonly isSound: boolean;
}

/** Sends orders to backend servers and reads their reports. */
export abstract class ServerControlPort {
  /** Emits the address of a server that said in an answer that it leaves. */
  readonly leavingSeen = new Emitter<string>();

  /** Sends an order. Fails without a response; the server may begin it all the same. */
  abstract placeLayers(order: PlacementOrder): Promise<Result<OrderAnswer>>;
  /** Moves a running request to another chain. Fails without a response; the request may move all the same. */
  abstract updateChain(update: ChainUpdate): Promise<Result<ChainUpdateAnswer>>;
  /** Fails with `BadAddress` if no process listens at the address, with `DeadlineExceeded` if nothing comes in time, with `ConnectionLost` if the connection is reset, and with `BackendFailed` if the answer is no report. */
  abstract readReport(
    address: string,
    timeoutMs: Milliseconds,
    connection: ConnectionUse,
  ): Promise<Result<ServerReport>>;
  /** Asks for the server's health at the path of its service. Fails without a response in time. */
  abstract readHealth(
    address: string,
    path: string,
    timeoutMs: Milliseconds,
  ): Promise<Result<ServerHealth>>;
}
