/** The backend servers that a gateway knows, read from the server list in the platform's store. */
import type { Milliseconds } from '@lycheetally/common';
import {
  isCopiedEntry,
  isNewerEntry,
  type BackendRecord,
  type IntakePolicy,
  type ServerEntry,
  type StageServer,
  type StorePosition,
} from '@lycheetally/decisions';
import { placementSilenceMs } from '../constants.js';
import { DepartedServers } from './departedServers.js';
import type { TableRecord } from '../ports.js';
import { Server, type HealthMachine } from './server.js';
import { ServerIntake, type IntakeMachine } from './serverIntake.js';
import {
  ServerListing,
  describeRange,
  describeServer,
  type ListingMachine,
  type ListingServices,
} from './serverListing.js';

/** Services that the registry uses. */
export interface RegistryServices extends ListingServices {
  readonly healthMachine: HealthMachine;
  readonly listingMachine: ListingMachine;
  readonly intakeMachine: IntakeMachine;
  createIntakePolicy(serverId: string): IntakePolicy;
  /** Called when the running calls of a server are lost. */
  handleLost(server: Server, now: Milliseconds): void;
  /** Called when a server is back after a silence. */
  handleReturn(server: Server, now: Milliseconds): void;
}

/** How many servers of a service are in trouble. */
export interface ServiceTrouble {
  readonly total: number;
  /** Ids of those that are silent, failing, lost or just back. */
  readonly troubled: readonly string[];
}

interface KnownServer {
  readonly server: Server;
  readonly listing: ServerListing;
  /** Position of the entry that the server's record is from; a copy doesn't raise it, since it is read again and again. */
  position: StorePosition;
}

export class ServerRegistry {
  /** This gateway's share of all gateways, from 0 to 1; 0 while it is unknown. */
  gatewayShare = 0;
  /** When a server last joined. */
  lastJoinAt: Milliseconds = -Infinity;
  private readonly known = new Map<string, KnownServer>();
  private readonly departed = new DepartedServers();
  private domainCount = 0;
  private unreadable = 0;

  constructor(private readonly services: RegistryServices) {}

  /** Number of unreadable records since the start. */
  get unreadableCount(): number {
    return this.unreadable;
  }

  /** Whether the store responds; otherwise a missing heartbeat says nothing about its server. */
  get isStoreAvailable(): boolean {
    return this.services.getOutage().outageSince === undefined;
  }

  /** Estimated number of all gateways. */
  get gatewayCount(): number {
    return this.gatewayShare > 0 ? 1 / this.gatewayShare : 1;
  }

  /** Estimated number of gateways that use the servers of a failure domain; each knows only its own calls. */
  get gatewaysPerDomain(): number {
    return this.gatewayShare > 0
      ? Math.max(1, 1 / this.gatewayShare / this.domainCount)
      : 1;
  }

  dispose(): void {
    for (const { server, listing } of this.known.values()) {
      server.dispose();
      listing.dispose();
    }
    this.known.clear();
  }

  /** Servers that name a limit. */
  get limitedCount(): number {
    return this.list(({ intake }) => intake.isLimited).length;
  }

  /** Servers that are asked, since their entries are missing or cannot be read. */
  get doubtedCount(): number {
    return [...this.known.values()].filter(({ listing }) => listing.isDoubted)
      .length;
  }

  find(serverId: string): Server | undefined {
    return this.known.get(serverId)?.server;
  }

  findByAddress(address: string): Server | undefined {
    return this.list(({ record }) => record.address === address)[0];
  }

  /** Servers that are silent. */
  get silentCount(): number {
    return this.list(({ isSilent }) => isSilent).length;
  }

  /** Servers of the service that may get calls. */
  listUsable(service: string): Server[] {
    return this.listListed(service).filter(({ isAvailable }) => isAvailable);
  }

  /** Servers of the service that may get calls when their silence ends, which may be a pause. */
  listPausing(service: string): Server[] {
    return this.listListed(service).filter(({ isPausing }) => isPausing);
  }

  /** Servers of the service that placement plans with; one that just fell silent keeps its layers. */
  listPlanned(service: string, now: Milliseconds): Server[] {
    return this.listListed(service).filter(
      server =>
        server.isAvailable || server.isSilentForLess(placementSilenceMs, now),
    );
  }

  private listListed(service: string): Server[] {
    return [...this.known.values()]
      .filter(
        ({ server, listing }) =>
          server.record.service === service && listing.isUsable,
      )
      .map(({ server }) => server);
  }

  /** Servers at which this gateway has calls in flight. */
  listInUse(): Server[] {
    return this.list(({ calls, layerTokens }) => calls > 0 || layerTokens > 0);
  }

  listAll(service: string): Server[] {
    return this.list(({ record }) => record.service === service);
  }

  /** The servers of the service, of a model those that hold layers, and the ones in trouble among them. */
  describeTrouble(service: string, now: Milliseconds): ServiceTrouble {
    const all = this.listAll(service);
    const holding = all.filter(({ record }) => record.range !== undefined);
    const serving = holding.length > 0 ? holding : all;
    return {
      total: serving.length,
      troubled: serving
        .filter(server => server.isInTrouble(now))
        .map(({ record }) => record.serverId),
    };
  }

  apply(
    records: readonly TableRecord<BackendRecord>[],
    isComplete: boolean,
    now: Milliseconds,
  ): void {
    for (const record of records) {
      this.applyRecord(record, isComplete, now);
    }
    if (isComplete) {
      this.noteMissing(records, now);
    }
    this.countDomains();
  }

  /** Handles an answer in which a server said that it leaves; `record` is its entry as of the request. */
  noteLeaving(record: BackendRecord, now: Milliseconds): void {
    const known = this.known.get(record.serverId);
    if (known?.server.record.incarnation === record.incarnation) {
      known.listing.noteLeaving(now);
    }
  }

  private list(isWanted: (server: Server) => boolean): Server[] {
    return [...this.known.values()]
      .map(({ server }) => server)
      .filter(isWanted);
  }

  private countDomains(): void {
    const domains = new Set(
      [...this.known.values()].map(({ server }) => server.record.failureDomain),
    );
    this.domainCount = domains.size;
  }

  private applyRecord(
    { key, position, value, fault }: TableRecord<BackendRecord>,
    isComplete: boolean,
    now: Milliseconds,
  ): void {
    const known = this.known.get(key);
    if (fault !== undefined) {
      this.unreadable += 1;
      if (
        this.unreadable === 1 ||
        this.unreadable % unreadableLogInterval === 0
      ) {
        this.services.log.warn('A record of a server cannot be read.', {
          key,
          fault,
          count: this.unreadable,
        });
      }
      known?.listing.noteUnreadable(now);
      return;
    }
    const entry = value && { record: value, position };
    if (!entry) {
      known?.listing.noteMissing(now);
    } else if (known) {
      this.update(known, entry, isComplete, now);
    } else if (!isComplete || !this.departed.isCopied(entry)) {
      this.addServer(entry, now);
    }
  }

  private addServer(
    { record, position }: ServerEntry,
    now: Milliseconds,
  ): void {
    const { serverId: key } = record;
    const { services } = this;
    const { healthMachine, listingMachine, intakeMachine } = services;
    const { timers, log } = services;
    this.lastJoinAt = now;
    const intake = new ServerIntake(
      intakeMachine,
      { timers, log, policy: services.createIntakePolicy(key) },
      key,
      now,
    );
    const server: Server = new Server(
      healthMachine,
      timers,
      record,
      log,
      intake,
      now,
      returnedAt => {
        services.handleReturn(server, returnedAt);
      },
    );
    const listing = new ServerListing(listingMachine, services, {
      get record() {
        return server.record;
      },
      noteAsked: askedAt => {
        intake.noteSent(askedAt);
      },
      handleGone: () => {
        this.dropServer(key);
      },
    });
    this.known.set(key, { server, listing, position });
    log.info('A server joined.', describeServer(record));
    listing.start(now);
    if (this.departed.hasSaidLeaving(record)) {
      listing.noteLeaving(now);
    }
    listing.noteListed(now);
  }

  private update(
    known: KnownServer,
    entry: ServerEntry,
    isComplete: boolean,
    now: Milliseconds,
  ): void {
    const before = getEntry(known);
    const isCopied = isComplete && isCopiedEntry(entry, before);
    if (isNewerEntry(entry, before) && !isCopied) {
      known.position = entry.position;
      this.replaceRecord(known, entry.record, now);
    }
    known.listing.noteListed(now);
  }

  private replaceRecord(
    { server, listing }: KnownServer,
    record: BackendRecord,
    now: Milliseconds,
  ): void {
    const before = server.record;
    const isRestarted = record.incarnation !== before.incarnation;
    server.record = record;
    if (isRestarted || record.sequence > before.sequence) {
      server.noteHeartbeat(now);
    }
    if (isRestarted) {
      this.services.handleLost(server, now);
      server.noteRestart(now);
      listing.noteRestarted(now);
      this.lastJoinAt = now;
      this.services.log.info('A server was restarted.', describeServer(record));
    } else if (describeRange(record) !== describeRange(before)) {
      this.services.log.info(
        'A server changed its layers.',
        describeServer(record),
      );
    }
  }

  private noteMissing(
    records: readonly TableRecord<BackendRecord>[],
    now: Milliseconds,
  ): void {
    const listedKeys = new Set(records.map(({ key }) => key));
    for (const [key, { listing }] of [...this.known]) {
      if (!listedKeys.has(key)) {
        listing.noteMissing(now);
      }
    }
  }

  private dropServer(key: string): void {
    const known = this.known.get(key);
    if (!known) {
      return;
    }
    const { server, listing } = known;
    this.departed.keep(getEntry(known), listing.hasSaidLeaving);
    server.dispose();
    listing.dispose();
    this.known.delete(key);
    this.services.log.info(
      'A server left the list.',
      describeServer(server.record),
    );
  }
}

const getEntry = ({ server, position }: KnownServer): ServerEntry => ({
  record: server.record,
  position,
});

/** After the first, one in this many unreadable records is logged. */
const unreadableLogInterval = 50;

/** The server in the form that placement and the choice of chains take. */
export const toStageServer = ({ record }: Server): StageServer => ({
  serverId: record.serverId,
  address: record.address,
  failureDomain: record.failureDomain,
  kind: record.kind,
  range: record.range,
  slots: record.slots,
});
