/** The backend servers that a gateway knows, read from the server list in the platform's store. */
import type { ChartTimers } from '@lycheetally/charts';
import type { Milliseconds, PartLogger } from '@lycheetally/common';
import type { BackendRecord, StageServer } from '@lycheetally/decisions';
import { lapsedEntryGraceMs } from './constants.js';
import type { TableRecord } from './ports.js';
import { Server, type HealthMachine } from './server.js';

/** The latest outage of the store, as seen by the follower of the server list. */
export interface StoreAbsence {
  readonly lostSince: Milliseconds | undefined;
  readonly backAt: Milliseconds;
}

export class ServerBook {
  /** This gateway's share of all gateways, from 0 to 1; 0 while it is unknown. */
  gatewayShare = 0;
  /** When a server last joined. */
  lastJoinAt: Milliseconds = -Infinity;
  private readonly servers = new Map<string, Server>();
  private domainCount = 0;
  private readonly lapsed = new Map<string, Milliseconds>();
  private unreadable = 0;

  constructor(
    private readonly machine: HealthMachine,
    private readonly timers: ChartTimers,
    private readonly log: PartLogger,
    private readonly viewAbsence: () => StoreAbsence,
    /** Called when the running calls of a server are lost. */
    private readonly handleLost: (server: Server, now: Milliseconds) => void,
  ) {}

  /** Number of unreadable records since the start. */
  get unreadableCount(): number {
    return this.unreadable;
  }

  /** Whether the store responds; otherwise a missing heartbeat says nothing about its server. */
  get isCurrent(): boolean {
    return this.viewAbsence().lostSince === undefined;
  }

  /** Estimated number of gateways that use the servers of a failure domain; each knows only its own calls. */
  get gatewaysPerDomain(): number {
    return this.gatewayShare > 0
      ? Math.max(1, 1 / this.gatewayShare / this.domainCount)
      : 1;
  }

  find(serverId: string): Server | undefined {
    return this.servers.get(serverId);
  }

  findByAddress(address: string): Server | undefined {
    return [...this.servers.values()].find(
      server => server.record.address === address,
    );
  }

  /** Servers of the service that may get calls. */
  listUsable(service: string): Server[] {
    return this.listAll(service).filter(
      server => !server.record.isLeaving && server.isTrusted,
    );
  }

  listAll(service: string): Server[] {
    return [...this.servers.values()].filter(
      server => server.record.service === service,
    );
  }

  apply(
    records: readonly TableRecord<BackendRecord>[],
    isWhole: boolean,
    now: Milliseconds,
  ): void {
    for (const record of records) {
      this.applyOne(record, now);
    }
    if (isWhole) {
      this.removeMissing(records, now);
    }
    this.removeLapsed(now);
    this.countDomains();
  }

  private countDomains(): void {
    const domains = new Set(
      [...this.servers.values()].map(({ record }) => record.failureDomain),
    );
    this.domainCount = domains.size;
  }

  private applyOne(
    { key, value, fault }: TableRecord<BackendRecord>,
    now: Milliseconds,
  ): void {
    if (fault !== undefined) {
      this.unreadable += 1;
      if (this.unreadable === 1 || this.unreadable % reportEvery === 0) {
        this.log.warn('A record of a server cannot be read.', {
          key,
          fault,
          count: this.unreadable,
        });
      }
      return;
    }
    if (!value) {
      this.removeOne(key, now);
      return;
    }
    this.lapsed.delete(key);
    const known = this.servers.get(key);
    if (known) {
      this.update(known, value, now);
      return;
    }
    this.lastJoinAt = now;
    this.servers.set(
      key,
      new Server(this.machine, this.timers, value, this.log, now),
    );
    this.log.info('A server joined.', describe(value));
  }

  private update(
    server: Server,
    record: BackendRecord,
    now: Milliseconds,
  ): void {
    const before = server.record;
    const isOlder =
      record.incarnation < before.incarnation ||
      (record.incarnation === before.incarnation &&
        record.sequence < before.sequence);
    if (isOlder) {
      return;
    }
    server.record = record;
    if (record.sequence > before.sequence) {
      server.noteHeartbeat(now);
    }
    if (record.incarnation > before.incarnation) {
      this.handleLost(server, now);
      server.noteReborn(now);
      this.lastJoinAt = now;
      this.log.info('A server was restarted.', describe(record));
    } else if (record.isLeaving !== before.isLeaving) {
      this.log.info('A server is leaving.', describe(record));
    } else if (describeRange(record) !== describeRange(before)) {
      this.log.info('A server changed its layers.', describe(record));
    }
  }

  /** Removes a server, after a grace period if the store had an outage: live servers may then be missing from the list for a while. */
  private removeOne(key: string, now: Milliseconds): void {
    const server = this.servers.get(key);
    if (!server) {
      return;
    }
    const { lostSince, backAt } = this.viewAbsence();
    const keptUntil = backAt + lapsedEntryGraceMs;
    if (lostSince === undefined && now >= keptUntil) {
      this.drop(key, server);
      return;
    }
    if (!this.lapsed.has(key)) {
      this.lapsed.set(key, keptUntil);
    }
  }

  private removeMissing(
    records: readonly TableRecord<BackendRecord>[],
    now: Milliseconds,
  ): void {
    const named = new Set(records.map(({ key }) => key));
    for (const key of [...this.servers.keys()]) {
      if (!named.has(key)) {
        this.removeOne(key, now);
      }
    }
  }

  private removeLapsed(now: Milliseconds): void {
    for (const [key, until] of this.lapsed) {
      const server = this.servers.get(key);
      if (now >= until && server) {
        this.lapsed.delete(key);
        this.drop(key, server);
      }
    }
  }

  private drop(key: string, server: Server): void {
    server.dispose();
    this.servers.delete(key);
    this.log.info('A server left the list.', describe(server.record));
  }
}

/** After the first, one in this many unreadable records is logged. */
const reportEvery = 50;

const describe = (
  record: BackendRecord,
): Record<string, string | number | boolean> => ({
  server: record.serverId,
  service: record.service,
  address: record.address,
  domain: record.failureDomain,
  kind: record.kind,
  incarnation: record.incarnation,
  leaving: record.isLeaving,
  layers: describeRange(record),
});

const describeRange = ({ range }: BackendRecord): string =>
  range ? `${String(range.from)}-${String(range.to)}` : '';

/** The server in the form that placement and the choice of chains take. */
export const viewStage = ({ record }: Server): StageServer => ({
  serverId: record.serverId,
  address: record.address,
  failureDomain: record.failureDomain,
  kind: record.kind,
  range: record.range,
  slots: record.slots,
});
