/**
 * What a gateway follows: the configuration, the list of backend servers and the
 * list of gateways. Few gateways read the store; the others ask them.
 */
import type { ChartTimers } from '@lycheetally/charts';
import {
  DisposableStore,
  LogComponent,
  Ok,
  getOrThrow,
  type Address,
  type LoggerFactory,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  RendezvousRelay,
  type BackendRecord,
  type GatewayConfiguration,
  type Moment,
} from '@lycheetally/decisions';
import {
  configPollShare,
  maxConfigPollMs,
  maxNewsAgeMs,
  maxPeersAgeMs,
  peerReadIntervalMs,
  serverReadIntervalMs,
} from '../constants.js';
import type { GatewaySettings } from '../gatewaySettings.js';
import { EraWatch } from '../eraWatch.js';
import type {
  StoreHistoryPort,
  TablePort,
  TableRecord,
  TableWriterPort,
  ValueDecoder,
} from '../ports.js';
import {
  bindFollowerChart,
  TableFollower,
  type FollowerMachine,
  type FollowerOptions,
} from '../tableFollower.js';
import { NewsClient } from './newsClient.js';
import { NewsServer, type PostHandler } from './newsServer.js';
import { NewsTable } from './newsTable.js';
import {
  PeerDirectory,
  bindTrustChart,
  type PeerRecord,
  type DomainRelay,
  type Relay,
} from './peerDirectory.js';
import {
  PeerAnnouncement,
  bindAnnouncementChart,
  decodePeer,
} from './peerRecord.js';
import { RelayDuty, bindRelayChart } from './relayDuty.js';
import { RelayedTable } from './relayedTable.js';

/** A table of the store and how its values are read. */
export interface TableSource<T> {
  readonly table: TablePort;
  readonly decode: ValueDecoder<T>;
}

/** The tables that a gateway follows. */
export interface NewsSources {
  readonly history: StoreHistoryPort;
  readonly configurations: TableSource<GatewayConfiguration>;
  readonly servers: TableSource<BackendRecord>;
  readonly gateways: {
    readonly table: TablePort;
    readonly writer: TableWriterPort;
  };
}

/** Applies records that were read; `isComplete` when they are the whole table. */
type RecordHandler<T> = (
  records: readonly TableRecord<T>[],
  isComplete: boolean,
  now: Milliseconds,
) => void;

export interface NewsServices {
  readonly timers: ChartTimers;
  readonly loggers: LoggerFactory;
  postCompletion(run: (now: Milliseconds) => void): void;
  getMoment(): Moment;
  countNews(isRelayed: boolean): void;
  /** Handles that the list of gateways was read. */
  handlePeersRead(now: Milliseconds): void;
  /** Handles a message about prompt parts. */
  readonly receiveParts: PostHandler;
  /** Handles a load report; absent if this gateway exchanges none. */
  readonly receiveLoad?: PostHandler | undefined;
  readonly applyConfigurations: RecordHandler<GatewayConfiguration>;
  /** Whether the store has the configuration in force, or a newer one. */
  isConfigurationStored(): boolean;
  readonly applyServers: RecordHandler<BackendRecord>;
}

/** Names of the tables in requests between gateways. */
const NewsName = {
  Configuration: 'configuration',
  Servers: 'servers',
  Gateways: 'gateways',
} as const;

export class GatewayNews {
  readonly configurations: TableFollower<GatewayConfiguration>;
  readonly servers: TableFollower<BackendRecord>;
  private readonly peers: TableFollower<PeerRecord>;
  private readonly tables = new Map<string, NewsTable>();
  private readonly machine: FollowerMachine = getOrThrow(bindFollowerChart());
  private readonly client = new NewsClient();
  private readonly duty: RelayDuty;
  private readonly eraWatch: EraWatch;
  private readonly subscriptions = new DisposableStore();
  private readonly directory: PeerDirectory;
  private readonly server: NewsServer;
  private announcement: PeerAnnouncement | undefined;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly sources: NewsSources,
    private readonly services: NewsServices,
  ) {
    const log = services.loggers.createLogger(LogComponent.Store);
    const { timers } = services;
    const { id, failureDomain } = settings.process;
    this.duty = new RelayDuty(getOrThrow(bindRelayChart()), timers, log);
    this.eraWatch = new EraWatch(log);
    this.subscribeToEras();
    this.directory = new PeerDirectory(
      getOrThrow(bindTrustChart()),
      timers,
      log,
      { ownId: id, failureDomain, policy: new RendezvousRelay() },
    );
    this.server = this.createServer();
    this.configurations = this.createConfigFollower();
    this.servers = this.createServerFollower();
    this.peers = this.createPeerFollower();
  }

  /** Era of the store, which rises when it comes back from an older copy; 0 while it names none. */
  get storeEra(): number {
    return this.eraWatch.era;
  }

  /** Gateways that this one knows, itself included. */
  get peerCount(): number {
    return this.directory.size;
  }

  /** Ids of the gateways that this one knows, itself included; another array after each change. */
  get gatewayIds(): readonly string[] {
    return this.directory.ids;
  }

  /** Addresses of the other gateways that this one knows. */
  listPeers(): readonly Address[] {
    return this.directory.listOthers();
  }

  /** Returns the gateway that relays for the own failure domain; `undefined` if it is this one. */
  chooseRelay(): Relay | undefined {
    return this.isRelaying ? undefined : this.directory.chooseRelay();
  }

  /** Gateways that relay for the other failure domains. */
  listRelaysElsewhere(): readonly DomainRelay[] {
    return this.directory.listRelaysElsewhere();
  }

  get isRelaying(): boolean {
    return this.duty.isRelaying;
  }

  /** Starts to answer other gateways, if the settings have an address for it. Fails with `BadAddress`. */
  async listen(): Promise<Result<void>> {
    const { gateways } = this.settings.listen;
    if (!gateways) {
      return Ok(undefined);
    }
    const listening = await this.server.listen(gateways);
    return listening.map(address => {
      this.announcement = this.createAnnouncement(address);
    });
  }

  start(now: Milliseconds): void {
    this.duty.start(now);
    this.configurations.start(now);
    this.servers.start(now);
    this.announcement?.start(now);
  }

  dispose(): void {
    this.subscriptions.dispose();
    this.server.dispose();
    this.client.dispose();
    this.duty.dispose();
    this.announcement?.dispose();
    this.configurations.dispose();
    this.servers.dispose();
    this.peers.dispose();
  }

  /** Writes again what this gateway wrote when the store comes back from an older copy. */
  private subscribeToEras(): void {
    const { eraWatch, services, sources, subscriptions } = this;
    subscriptions.add(
      sources.history.eraSeen.subscribe(era => {
        services.postCompletion(now => {
          eraWatch.note(era, now);
        });
      }),
    );
    subscriptions.add(
      eraWatch.replaced.subscribe(now => {
        this.announcement?.noteReplaced(now);
      }),
    );
  }

  private createServer(): NewsServer {
    return new NewsServer(
      (table, request, reply) => {
        this.services.postCompletion(now => {
          const news = this.tables.get(table);
          if (!news) {
            reply(undefined);
            return;
          }
          this.duty.noteAsked(now);
          news.receive(request, reply);
        });
      },
      this.services.receiveParts,
      this.services.receiveLoad,
    );
  }

  private createAnnouncement(address: Address): PeerAnnouncement {
    const { services, settings, sources } = this;
    const { id, failureDomain } = settings.process;
    return new PeerAnnouncement(
      getOrThrow(bindAnnouncementChart()),
      {
        timers: services.timers,
        log: services.loggers.createLogger(LogComponent.Store),
        writer: sources.gateways.writer,
        postCompletion: run => {
          services.postCompletion(run);
        },
        handleWritten: now => {
          if (!this.peers.hasStarted) {
            this.peers.start(now);
          }
        },
      },
      id,
      { address, failureDomain },
    );
  }

  private createConfigFollower(): TableFollower<GatewayConfiguration> {
    const { revokeMs } = this.settings.rules;
    const pollMs = Math.min(
      maxConfigPollMs,
      Math.round(revokeMs * configPollShare),
    );
    return this.createFollower(
      NewsName.Configuration,
      this.sources.configurations,
      {
        waitMs: pollMs,
        readIntervalMs: 0,
        isCurrent: () => this.services.isConfigurationStored(),
      },
      this.services.applyConfigurations,
    );
  }

  private createServerFollower(): TableFollower<BackendRecord> {
    return this.createFollower(
      NewsName.Servers,
      this.sources.servers,
      { waitMs: 0, readIntervalMs: serverReadIntervalMs },
      this.services.applyServers,
    );
  }

  private createPeerFollower(): TableFollower<PeerRecord> {
    return this.createFollower(
      NewsName.Gateways,
      { table: this.sources.gateways.table, decode: decodePeer },
      { waitMs: 0, readIntervalMs: peerReadIntervalMs },
      (records, _, now) => {
        for (const { key, value, fault } of records) {
          if (fault === undefined) {
            this.directory.set(key, value);
          }
        }
        this.services.handlePeersRead(now);
      },
    );
  }

  private createFollower<T>(
    name: string,
    source: TableSource<T>,
    options: Pick<
      FollowerOptions<T>,
      'waitMs' | 'readIntervalMs' | 'isCurrent'
    >,
    apply: RecordHandler<T>,
  ): TableFollower<T> {
    const { services } = this;
    const isHeld = name !== NewsName.Gateways;
    const news = new NewsTable(
      services,
      isHeld ? maxNewsAgeMs : maxPeersAgeMs,
      isHeld,
    );
    this.tables.set(name, news);
    return new TableFollower<T>(
      this.machine,
      {
        timers: services.timers,
        log: services.loggers.createLogger(LogComponent.Store),
        eraWatch: this.eraWatch,
        postCompletion: run => {
          services.postCompletion(run);
        },
        getMoment: () => services.getMoment(),
      },
      {
        name,
        table: this.createTable(name, source.table, isHeld),
        decode: source.decode,
        ...options,
        apply,
        noteRead: (batch, isComplete, confirmedAt) => {
          news.accept(batch, isComplete, confirmedAt);
        },
        noteFailure: () => {
          news.noteOutage();
        },
      },
    );
  }

  private createTable(
    name: string,
    store: TablePort,
    isHeld: boolean,
  ): RelayedTable {
    const { client, directory, duty, eraWatch, services } = this;
    return new RelayedTable(
      {
        client,
        directory,
        duty,
        eraWatch,
        postCompletion: run => {
          services.postCompletion(run);
        },
        countRead: isRelayed => {
          services.countNews(isRelayed);
        },
      },
      name,
      store,
      isHeld,
    );
  }
}
