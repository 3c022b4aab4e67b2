/** The backend servers that a gateway knows, read from the server list in the platform's store. */
import type { ChartTimers } from '@lycheetally/charts';
import type { Milliseconds, ComponentLogger } from '@lycheetally/common';
import type { BackendRecord, StageServer } from '@lycheetally/decisions';
import { missingServerGraceMs } from './constants.js';
import type { TableRecord } from './ports.js';
import { Server, type HealthMachine } from './server.js';

/** The latest outage of the store, as seen by the follower of the server list. */
export interface StoreOutage {
  readonly outageSince: Milliseconds | undefined;
  readonly outageEndedAt: Milliseconds;
}

export class ServerRegistry {
  /** This gateway's share of all gateways, from 0 to 1; 0 while it is unknown. */
  gatewayShare = 0;
  /** When a server last joined. */
  lastJoinAt: Milliseconds = -Infinity;
  private readonly servers = new Map<string, Server>();
  private domainCount = 0;
  private readonly removalTimes = new Map<string, Milliseconds>();
  private unreadable = 0;

  constructor(
    private readonly machine: HealthMachine,
    private readonly timers: ChartTimers,
    private readonly log: ComponentLogger,
    private readonly getOutage: () => StoreOutage,
    /** Called when the running calls of a server are lost. */
    private readonly handleLost: (server: Server, now: Milliseconds) => void,
  ) {}

  /** Number of unreadable records since the start. */
  get unreadableCount(): number {
    return this.unreadable;
  }

  /** Whether the store responds; otherwise a missing heartbeat says nothing about its server. */
  get isStoreAvailable(): boolean {
    return this.getOutage().outageSince === undefined;
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
      server => !server.record.isLeaving && server.isAvailable,
    );
  }

  listAll(service: string): Server[] {
    return [...this.servers.values()].filter(
      server => server.record.service === service,
    );
  }

  apply(
    records: readonly TableRecord<BackendRecord>[],
    isComplete: boolean,
    now: Milliseconds,
  ): void {
    for (const record of records) {
      this.applyRecord(record, now);
    }
    if (isComplete) {
      this.removeMissing(records, now);
    }
    this.removeExpired(now);
    this.countDomains();
  }

  private countDomains(): void {
    const domains = new Set(
      [...this.servers.values()].map(({ record }) => record.failureDomain),
    );
    this.domainCount = domains.size;
  }

  private applyRecord(
    { key, value, fault }: TableRecord<BackendRecord>,
    now: Milliseconds,
  ): void {
    if (fault !== undefined) {
      this.unreadable += 1;
      if (
        this.unreadable === 1 ||
        this.unreadable % unreadableLogInterval === 0
      ) {
        this.log.warn('A record of a server cannot be read.', {
          key,
          fault,
          count: this.unreadable,
        });
      }
      return;
    }
    if (!value) {
      this.removeServer(key, now);
      return;
    }
    this.removalTimes.delete(key);
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
      server.noteRestart(now);
      this.lastJoinAt = now;
      this.log.info('A server was restarted.', describe(record));
    } else if (record.isLeaving !== before.isLeaving) {
      this.log.info('A server is leaving.', describe(record));
    } else if (describeRange(record) !== describeRange(before)) {
      this.log.info('A server changed its layers.', describe(record));
    }
  }

  /** Removes a server, after a grace period if the store had an outage: live servers may then be missing from the list for a while. */
  private removeServer(key: string, now: Milliseconds): void {
    const server = this.servers.get(key);
    if (!server) {
      return;
    }
    const { outageSince, outageEndedAt } = this.getOutage();
    const keptUntil = outageEndedAt + missingServerGraceMs;
    if (outageSince === undefined && now >= keptUntil) {
      this.dropServer(key, server);
      return;
    }
    if (!this.removalTimes.has(key)) {
      this.removalTimes.set(key, keptUntil);
      this.log.info('A server is missing from the list and is kept for now.', {
        ...describe(server.record),
        calls: server.calls,
        sinceHeartbeatMs: Math.round(now - server.lastAliveAt),
        sinceOutageMs: Math.round(now - outageEndedAt),
      });
    }
  }

  private removeMissing(
    records: readonly TableRecord<BackendRecord>[],
    now: Milliseconds,
  ): void {
    const listedKeys = new Set(records.map(({ key }) => key));
    for (const key of [...this.servers.keys()]) {
      if (!listedKeys.has(key)) {
        this.removeServer(key, now);
      }
    }
  }

  private removeExpired(now: Milliseconds): void {
    for (const [key, until] of this.removalTimes) {
      const server = this.servers.get(key);
      if (now >= until && server) {
        this.removalTimes.delete(key);
        this.dropServer(key, server);
      }
    }
  }

  private dropServer(key: string, server: Server): void {
    server.dispose();
    this.servers.delete(key);
    this.log.info('A server left the list.', describe(server.record));
  }
}

/** After the first, one in this many unreadable records is logged. */
const unreadableLogInterval = 50;

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
export const toStageServer = ({ record }: Server): StageServer => ({
  serverId: record.serverId,
  address: record.address,
  failureDomain: record.failureDomain,
  kind: record.kind,
  range: record.range,
  slots: record.slots,
});
