/** What a gateway asks of the platform. An adapter gives each port its names and formats. */
import type { Milliseconds, Result } from '@lycheetally/common';
import type { LayerRange } from '@lycheetally/decisions';

/** A value of a table; without one the key was removed or its value cannot be read. */
export interface TableRecord<T> {
  readonly key: string;
  readonly value: T | undefined;
  /** Why the value cannot be read; such a record changes nothing. */
  readonly fault?: string | undefined;
}

/** Records of a table, and where the next read begins. */
export interface TableSpan<T> {
  readonly records: readonly TableRecord<T>[];
  readonly next: number;
  /** Set when the records after the offset are no longer kept. */
  readonly isTrimmed: boolean;
}

/** One table of the platform's store. Every call fails with `PlatformUnavailable`. */
export abstract class TablePort<T> {
  /** Reads the newest value of each key. */
  abstract readNewest(): Promise<Result<TableSpan<T>>>;
  /** Reads changes from an offset on; waits that long for the first. */
  abstract readChanges(
    from: number,
    waitMs: Milliseconds,
  ): Promise<Result<TableSpan<T>>>;
}

/** What the group says of the duty. */
export interface DutyGrant {
  readonly isHolder: boolean;
  /** Part of the group that this member is, from 0 to 1. */
  readonly share: number;
  /** Fencing token of the grant; a later one is larger. */
  readonly fencingToken: number;
}

/** A group of which one member has the duty. Fails with `PlatformUnavailable`. */
export abstract class DutyPort {
  abstract join(leaseMs: Milliseconds): Promise<Result<DutyGrant>>;
  abstract leave(): Promise<void>;
}

/** An order to hold layers. */
export interface PlaceOrder {
  readonly serverId: string;
  readonly address: string;
  readonly range: LayerRange;
  /** Orders that the server must have counted; it refuses otherwise. */
  readonly expectedOrders: number;
  readonly fencingToken: number;
}

/** What a server says of its work. */
export interface ServerReport {
  /** Orders that the server has begun since its start. */
  readonly orders: number;
  /** Requests whose chain has stalled, with the address of the server at fault. */
  readonly stalled: readonly StalledRequest[];
}

export interface StalledRequest {
  readonly requestId: string;
  readonly address: string;
}

/** Orders and questions to backend servers. */
export abstract class ServerControlPort {
  /** Sends an order; `true` when it has begun or holds already. Fails when no answer comes. */
  abstract placeLayers(order: PlaceOrder): Promise<Result<boolean>>;
  abstract readReport(
    address: string,
    boundMs: Milliseconds,
  ): Promise<Result<ServerReport>>;
}
