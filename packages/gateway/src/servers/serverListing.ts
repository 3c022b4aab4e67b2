/**
 * Whether a backend server may be used, judging by its entry in the server list and
 * by what it says of itself; context of the chart `serverListing`.
 *
 * An entry that is missing after an outage has two explanations: it expired while the
 * store was down, or the server left while the store turned only this gateway away. An
 * entry that cannot be read may be another writer's, or say that the server leaves. The
 * gateway cannot tell, so the server is asked before it gets calls.
 */
import {
  ChartName,
  bindChart,
  type ChartInstance,
  type ChartMachine,
  type ChartTimers,
} from '@lycheetally/charts';
import type {
  ComponentLogger,
  Milliseconds,
  Result,
} from '@lycheetally/common';
import type { BackendRecord } from '@lycheetally/decisions';
import {
  doubtedServerCheckMs,
  healthRetryMs,
  missingServerGraceMs,
  serverReadIntervalMs,
} from '../constants.js';
import type { ServerHealth } from '../ports.js';

export interface ListingEvent {
  readonly type:
    | 'LISTED'
    | 'MISSING'
    | 'UNREADABLE'
    | 'SOUND'
    | 'UNSURE'
    | 'LEAVING'
    | 'RESTARTED';
}

export type ListingMachine = ChartMachine<ServerListing, ListingEvent>;

/** The latest outage of the store, as seen by the follower of the server list. */
export interface StoreOutage {
  readonly outageSince: Milliseconds | undefined;
  readonly outageEndedAt: Milliseconds;
}

/** Services that the listings of all servers share. */
export interface ListingServices {
  readonly timers: ChartTimers;
  readonly log: ComponentLogger;
  getOutage(): StoreOutage;
  /** Asks a server for its health; fails without a response. */
  requestHealth(record: BackendRecord): Promise<Result<ServerHealth>>;
  postCompletion(run: (now: Milliseconds) => void): void;
}

/** The server that a listing belongs to. */
export interface ListedServer {
  readonly record: BackendRecord;
  /** Counts a question about the server's health. */
  noteAsked(now: Milliseconds): void;
  /** Drops the server, whose entry is gone for good. */
  handleGone(now: Milliseconds): void;
}

export class ServerListing {
  /** Whether this incarnation of the server said that it leaves. */
  hasSaidLeaving = false;
  private isMissing = false;
  private readonly chart: ChartInstance<ServerListing, ListingEvent>;

  constructor(
    machine: ListingMachine,
    private readonly services: ListingServices,
    private readonly server: ListedServer,
  ) {
    this.chart = machine.createInstance(this, services.timers);
  }

  /** Whether the server is listed, or has confirmed that it is alive and stays. */
  get isUsable(): boolean {
    return (
      this.chart.matches('listed') || this.chart.matches('doubted.confirmed')
    );
  }

  /** Whether the server is asked, since its entry is missing or cannot be read. */
  get isDoubted(): boolean {
    return this.chart.matches('doubted');
  }

  start(now: Milliseconds): void {
    this.chart.start(now);
  }

  /** Handles a read of the list that has an entry of the server. */
  noteListed(now: Milliseconds): void {
    this.isMissing = false;
    const type = this.server.record.isLeaving ? 'LEAVING' : 'LISTED';
    this.chart.send({ type }, now);
  }

  /** Handles an answer in which the server said that it leaves. */
  noteLeaving(now: Milliseconds): void {
    this.chart.send({ type: 'LEAVING' }, now);
  }

  /** Handles the entry of a new incarnation, which knows nothing of what an earlier one said. */
  noteRestarted(now: Milliseconds): void {
    this.chart.send({ type: 'RESTARTED' }, now);
  }

  /** Handles a read of the list without an entry of the server. */
  noteMissing(now: Milliseconds): void {
    this.isMissing = true;
    this.chart.send({ type: 'MISSING' }, now);
  }

  /** Handles an entry that cannot be read, which may be the server's own or another writer's. */
  noteUnreadable(now: Milliseconds): void {
    this.isMissing = false;
    this.chart.send({ type: 'UNREADABLE' }, now);
  }

  dispose(): void {
    this.chart.dispose();
  }

  /** Actions, guards and delays of the chart. */
  readonly chartActions = {
    noteDoubt: (now: Milliseconds): void => {
      const { services } = this;
      services.log.info('A server without a usable entry is asked.', {
        ...describeServer(this.server.record),
        missing: this.isMissing,
        sinceOutageMs: Math.round(now - services.getOutage().outageEndedAt),
      });
    },
    requestHealth: (now: Milliseconds): void => {
      const { services, server } = this;
      const { record } = server;
      server.noteAsked(now);
      void services.requestHealth(record).then(result => {
        services.postCompletion(answeredAt => {
          this.receiveHealth(result, record, answeredAt);
        });
      });
    },
    noteConfirmed: (): void => {
      this.services.log.info(
        'A server without a usable entry is alive and stays.',
        describeServer(this.server.record),
      );
    },
    noteRestarted: (): void => {
      this.hasSaidLeaving = false;
    },
    noteLeaving: (): void => {
      this.hasSaidLeaving = true;
      this.services.log.info('A server is leaving.', {
        ...describeServer(this.server.record),
        leaving: true,
      });
    },
    handleGone: (now: Milliseconds): void => {
      this.server.handleGone(now);
    },
    isStoreAvailable: (): boolean =>
      this.services.getOutage().outageSince === undefined,
    mayHaveExpired: (now: Milliseconds): boolean =>
      !this.chartActions.isStoreAvailable() ||
      now < this.services.getOutage().outageEndedAt + missingServerGraceMs,
    isEntryLost: (): boolean =>
      this.isMissing && this.chartActions.isStoreAvailable(),
    /** Missing entries of live servers are back within the grace period, and are read one interval later. */
    computeDoubtLimit: (now: Milliseconds): Milliseconds => {
      if (!this.isMissing) {
        return doubtedServerCheckMs;
      }
      const { outageSince, outageEndedAt } = this.services.getOutage();
      const start = outageSince === undefined ? outageEndedAt : now;
      return Math.max(
        0,
        start + missingServerGraceMs + serverReadIntervalMs - now,
      );
    },
  };

  private receiveHealth(
    health: Result<ServerHealth>,
    { serverId }: BackendRecord,
    now: Milliseconds,
  ): void {
    const isSound =
      health.ok && health.val.isSound && health.val.serverId === serverId;
    this.chart.send({ type: isSound ? 'SOUND' : 'UNSURE' }, now);
  }
}

/** Fields of log lines about a server. */
export const describeServer = (
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

export const describeRange = ({ range }: BackendRecord): string =>
  range ? `${String(range.from)}-${String(range.to)}` : '';

/** Binds the chart `serverListing`. Fails with `BadChart`. */
export const bindListingChart = (): Result<ListingMachine> =>
  bindChart<ServerListing, ListingEvent>(ChartName.ServerListing, {
    actions: {
      noteDoubt: (listing, _, now) => {
        listing.chartActions.noteDoubt(now);
      },
      requestHealth: (listing, _, now) => {
        listing.chartActions.requestHealth(now);
      },
      noteConfirmed: listing => {
        listing.chartActions.noteConfirmed();
      },
      noteLeaving: listing => {
        listing.chartActions.noteLeaving();
      },
      noteRestarted: listing => {
        listing.chartActions.noteRestarted();
      },
      handleGone: (listing, _, now) => {
        listing.chartActions.handleGone(now);
      },
    },
    guards: {
      mayHaveExpired: (listing, _, now) =>
        listing.chartActions.mayHaveExpired(now),
      isEntryLost: listing => listing.chartActions.isEntryLost(),
    },
    delays: {
      DOUBT_LIMIT: (listing, now) =>
        listing.chartActions.computeDoubtLimit(now),
      HEALTH_RETRY: () => healthRetryMs,
    },
  });
