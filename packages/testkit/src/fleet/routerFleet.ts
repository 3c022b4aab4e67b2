/**
 * A complete system of separate processes: platform and backend server
 * stand-ins, agents and entries.
 */
import {
  ConfigPublisher,
  HttpLog,
  SystemClock,
  requestJson,
  hashKey,
  type VmRecord,
} from '@lycheetally/router';
import { toMessage } from '@lycheetally/common';
import type { RouterConfiguration } from '@lycheetally/decisions';
import { waitFor } from '../standIns/standInServer.js';
import type { TcpRelay } from '../faults/tcpRelay.js';
import { FleetRelays } from './fleetRelays.js';
import {
  DaemonPath,
  ProcessFleet,
  type FleetProcess,
  type SettingsSections,
} from './processFleet.js';

/** Size of a fleet, speed of its stand-ins and settings of its processes. */
export interface FleetOptions {
  readonly entries: number;
  /** Number of pipeline stages that the model's layers are split into. */
  readonly stages: number;
  /** Number of backend servers for each stage. */
  readonly replicas: number;
  /** Number of backend servers for each plain service. */
  readonly plainServers: number;
  /** Number of layers of the whole model. */
  readonly layers: number;
  /** Duration of a decode step of one stage, in milliseconds. */
  readonly stepMs: number;
  /**
   * Extra time at a stage for each position after the first in one input, in
   * microseconds.
   */
  readonly positionUs?: number;
  /** Duration of a call to a plain service, in milliseconds. */
  readonly plainMs: number;
  readonly slots: number;
  /** Additional sections for the settings files of the entries. */
  readonly entrySections?: SettingsSections;
  /** Time that a stopping process waits for its open work, in seconds. */
  readonly drainSeconds: number;
  /**
   * Whether to place relays in front of agents and backend servers, for network
   * faults.
   */
  readonly hasRelays?: boolean;
  /** Time after which an agent treats an unresponsive engine as failed, in seconds. */
  readonly silenceSeconds?: number;
  /** Names used in the configuration; `fleetNames` by default. */
  readonly names?: FleetNames;
  /**
   * Section `operations` of the settings; agents get it without the ledger
   * settings.
   */
  readonly operations?: Readonly<Record<string, string | number>>;
}

/**
 * Names used in a fleet's configuration; the ranks are ordered from most to
 * least urgent.
 */
export interface FleetNames {
  readonly model: string;
  readonly booking: string;
  readonly stock: string;
  readonly ranks: readonly string[];
  readonly accounts: readonly string[];
}

export const defaultFleetOptions: FleetOptions = {
  entries: 1,
  stages: 3,
  replicas: 1,
  plainServers: 1,
  layers: 12,
  stepMs: 2,
  plainMs: 5,
  slots: 16,
  drainSeconds: 20,
};

/** Default names of a fleet's configuration. */
export const fleetNames = {
  model: 'pickup-assistant',
  booking: 'depot-booking',
  stock: 'stock-lookup',
  ranks: ['family', 'shift-summary', 'donor-report'],
  accounts: ['depot-north', 'depot-harbour'],
} as const satisfies FleetNames;

/** Returns the API key of an account, sent as a bearer token. */
export const getAccountKey = (account: string): string => `key-of-${account}`;

const defaultSilenceSeconds = 10;
const ephemeralAddress = '127.0.0.1:0';
const failureDomains = ['bc-south-a', 'bc-south-b', 'bc-south-c'];
const readyTimeoutMs = 15_000;
const pollMs = 25;
const callTimeoutMs = 2_000;

/** Builds a configuration with one model service and two plain services. */
export const buildFleetConfiguration = (
  layers: number,
  names: FleetNames = fleetNames,
): RouterConfiguration => ({
  version: 1,
  ranks: names.ranks.map((name, urgency) => ({
    name,
    urgency,
    floor: 0.1,
    targetMs: 1_200 * 10 ** urgency,
  })),
  accounts: names.accounts.map(name => ({
    name,
    keyHash: hashKey('salt', getAccountKey(name)),
    weight: 1,
  })),
  services: [
    createService(names, names.model, 'model', layers, true),
    createService(names, names.booking, 'plain', 0, false),
    createService(names, names.stock, 'plain', 0, true),
  ],
});

const createService = (
  names: FleetNames,
  name: string,
  kind: 'model' | 'plain',
  layers: number,
  idempotent: boolean,
): RouterConfiguration['services'][number] => ({
  name,
  kind,
  layers,
  idempotent,
  accounts: names.accounts,
});

/**
 * Polls until the check returns true. Throws if it does not before the timeout. A
 * check that fails, such as a status page that is late, does not hold yet.
 */
export const waitUntil = async (
  what: string,
  check: () => Promise<boolean> | boolean,
  timeoutMs = readyTimeoutMs,
): Promise<void> => {
  const end = Date.now() + timeoutMs;
  for (;;) {
    let fault = '';
    try {
      if (await check()) {
        return;
      }
    } catch (thrown) {
      fault = `: ${toMessage(thrown)}`;
    }
    if (Date.now() > end) {
      throw new Error(`Timed out waiting until ${what}${fault}`);
    }
    await waitFor(pollMs);
  }
};

/** Fields of an entry's or agent's status that tests read. */
export interface ProcessStatus {
  readonly ready: boolean;
  /** Number of work items open at an agent. */
  readonly work: number;
  /** Number of requests open at an entry. */
  readonly openRequests: number;
  /** Number of tokens that an entry delivered and dropped. */
  readonly tokens: { readonly delivered: number; readonly dropped: number };
}

export class RouterFleet {
  readonly processes = new ProcessFleet();
  logUrl = '';
  vmListUrl = '';
  /** Base URLs of the entries. */
  entryUrls: string[] = [];
  /** Base URLs of the stand-ins behind the agents, by server name. */
  readonly backendUrls = new Map<string, string>();
  private readonly relays: FleetRelays;
  private readonly agentStarters = new Map<
    string,
    () => Promise<FleetProcess>
  >();

  constructor(readonly options: FleetOptions = defaultFleetOptions) {
    this.relays = new FleetRelays(options.hasRelays ?? false);
  }

  private get names(): FleetNames {
    return this.options.names ?? fleetNames;
  }

  private get operations(): SettingsSections {
    const { operations } = this.options;
    return operations ? { operations } : {};
  }

  /** Section `operations` without the ledger settings, which agents don't have. */
  private get agentOperations(): SettingsSections {
    const { operations } = this.options;
    if (!operations) {
      return {};
    }
    const kept = Object.entries(operations).filter(
      ([key]) => !key.startsWith('ledger'),
    );
    return { operations: Object.fromEntries(kept) };
  }

  /** Starts all processes and waits until every entry is connected to every server. */
  async start(): Promise<void> {
    await this.startPlatform();
    await Promise.all([this.startModelServers(), this.startPlainServers()]);
    await this.publishConfiguration(
      buildFleetConfiguration(this.options.layers, this.names),
    );
    for (let index = 0; index < this.options.entries; index += 1) {
      await this.startEntry(`entry-${String(index)}`);
    }
  }

  async dispose(): Promise<void> {
    await this.processes.dispose();
    this.relays.dispose();
  }

  /** Returns the relay in front of an agent or a backend server. */
  getRelay(name: string): TcpRelay {
    return this.relays.getRelay(name);
  }

  /** Lists the names of the processes that have a relay in front of them. */
  listRelayedProcesses(): string[] {
    return this.relays.listNames();
  }

  /** Starts a replacement for an agent that was killed. */
  async restartAgent(server: string): Promise<void> {
    await this.agentStarters.get(server)?.();
  }

  /** Publishes a configuration as the successor of the current one. */
  async publishConfiguration(
    configuration: RouterConfiguration,
  ): Promise<void> {
    const publisher = new ConfigPublisher(
      new HttpLog(this.logUrl),
      new SystemClock(),
      'fleet',
    );
    (await publisher.publish(configuration)).unwrap();
  }

  /** Sets the injected faults of the log service. */
  async setLogFaults(
    faults: Readonly<Record<string, boolean | number>>,
  ): Promise<void> {
    await this.post(`${this.logUrl}/control`, faults);
  }

  /** Drops the records of a stream before an offset, as retention does. */
  async trimStream(stream: string, before: number): Promise<void> {
    await this.post(`${this.logUrl}/trim`, { stream, before });
  }

  /** Reads the full status of an entry or agent. */
  async getStatus(name: string): Promise<Record<string, unknown>> {
    const { addresses } = this.processes.getProcess(name);
    const url = `http://${addresses.operators ?? ''}/v1/admin/status`;
    return (await this.get(url)) as Record<string, unknown>;
  }

  /** Changes the VM list. */
  async updateVmList(update: {
    readonly put?: readonly VmRecord[];
    readonly remove?: readonly string[];
    readonly lagMs?: number;
  }): Promise<void> {
    await this.post(`${this.vmListUrl}/vms`, update);
  }

  /** Starts an entry and waits until it is ready. */
  async startEntry(
    name: string,
    sections: SettingsSections = {},
  ): Promise<FleetProcess> {
    const { drainSeconds } = this.options;
    const started = await this.processes.startDaemon(name, DaemonPath.Entry, {
      process: { id: name, failureDomain: 'bc-south-a', drainSeconds },
      listen: { callers: ephemeralAddress, operators: ephemeralAddress },
      platform: { log: this.logUrl, vmList: this.vmListUrl },
      ...this.options.entrySections,
      ...sections,
      ...this.operations,
    });
    const operators = `http://${started.addresses.operators ?? ''}`;
    await waitUntil(`${name} reaches every server`, () =>
      this.isConnected(operators),
    );
    this.entryUrls.push(`http://${started.addresses.callers ?? ''}`);
    return started;
  }

  /** Starts an agent for a backend server and adds it to the VM list. */
  startAgent(
    server: string,
    backend: Readonly<Record<string, string | number>>,
    domainIndex: number,
  ): Promise<FleetProcess> {
    const start = (): Promise<FleetProcess> =>
      this.startAgentProcess(server, backend, domainIndex);
    this.agentStarters.set(server, start);
    return start();
  }

  private async startAgentProcess(
    server: string,
    backend: Readonly<Record<string, string | number>>,
    domainIndex: number,
  ): Promise<FleetProcess> {
    const failureDomain =
      failureDomains[domainIndex % failureDomains.length] ?? '';
    const name = `agent-${server}`;
    const { drainSeconds } = this.options;
    const started = await this.processes.startDaemon(name, DaemonPath.Agent, {
      process: { id: name, failureDomain, drainSeconds },
      listen: { peers: ephemeralAddress, operators: ephemeralAddress },
      backend: {
        server,
        slots: this.options.slots,
        silenceSeconds: this.options.silenceSeconds ?? defaultSilenceSeconds,
        ...backend,
      },
      ...this.agentOperations,
    });
    const agentAddress = await this.relays.relayTo(
      name,
      started.addresses.peers ?? '',
    );
    await this.updateVmList({
      put: [{ vmId: server, agentAddress, failureDomain, state: 'live' }],
    });
    return started;
  }

  /** Starts an agent that isn't on the VM list; returns the name of its server. */
  async startUnlistedAgent(
    service: string,
    entries: SettingsSections[string],
  ): Promise<string> {
    const server = `${service}-unlisted`;
    const { plainMs, slots, drainSeconds } = this.options;
    const address = await this.processes.startStandIn(
      `service-${server}`,
      'plain-service',
      { workMs: plainMs },
    );
    const url = `http://${address}`;
    this.backendUrls.set(server, url);
    const failureDomain = failureDomains[0] ?? '';
    const name = `agent-${server}`;
    await this.processes.startDaemon(name, DaemonPath.Agent, {
      process: { id: name, failureDomain, drainSeconds },
      listen: { peers: ephemeralAddress, operators: ephemeralAddress },
      backend: { server, slots, url, kind: 'plain', service },
      entries,
    });
    return server;
  }

  private async startPlatform(): Promise<void> {
    this.logUrl = `http://${await this.processes.startStandIn('log', 'log')}`;
    const vmList = await this.processes.startStandIn('vm-list', 'vm-list');
    this.vmListUrl = `http://${vmList}`;
  }

  private async startModelServers(): Promise<void> {
    const { stages, replicas } = this.options;
    const servers = Array.from({ length: stages * replicas }, (_, index) =>
      this.startModelServer(index % stages, Math.floor(index / stages)),
    );
    await Promise.all(servers);
  }

  private async startModelServer(
    stage: number,
    replica: number,
  ): Promise<void> {
    const { layers, stages, stepMs, positionUs = 0 } = this.options;
    const server = `stage${String(stage)}-${String(replica)}`;
    const layerFrom = Math.floor((layers * stage) / stages);
    const layerTo = Math.floor((layers * (stage + 1)) / stages);
    const address = await this.processes.startStandIn(
      `engine-${server}`,
      'model-engine',
      { layerFrom, layerTo, layers, stepMs, positionUs },
    );
    this.backendUrls.set(server, `http://${address}`);
    const relayed = await this.relays.relayTo(`engine-${server}`, address);
    const url = `http://${relayed}`;
    const service = this.names.model;
    await this.startAgent(
      server,
      { url, kind: 'model', service, layerFrom, layerTo },
      replica,
    );
  }

  private async startPlainServers(): Promise<void> {
    const services = [this.names.booking, this.names.stock];
    const servers = services.flatMap(service =>
      Array.from({ length: this.options.plainServers }, (_, index) =>
        this.startPlainServer(service, index),
      ),
    );
    await Promise.all(servers);
  }

  private async startPlainServer(
    service: string,
    index: number,
  ): Promise<void> {
    const server = `${service}-${String(index)}`;
    const address = await this.processes.startStandIn(
      `service-${server}`,
      'plain-service',
      { workMs: this.options.plainMs },
    );
    this.backendUrls.set(server, `http://${address}`);
    const relayed = await this.relays.relayTo(`service-${server}`, address);
    const url = `http://${relayed}`;
    await this.startAgent(server, { url, kind: 'plain', service }, index);
  }

  /** Whether every entry is connected to every server. */
  async isFullyConnected(): Promise<boolean> {
    const entries = this.processes
      .listProcesses()
      .filter(process => process.name.startsWith('entry-'));
    const connected = await Promise.all(
      entries.map(entry =>
        this.isConnected(`http://${entry.addresses.operators ?? ''}`),
      ),
    );
    return connected.every(Boolean);
  }

  private async isConnected(operatorsUrl: string): Promise<boolean> {
    const status = await this.get(`${operatorsUrl}/v1/admin/status`);
    const { ready, members } = status as {
      ready: boolean;
      members: { connected: boolean }[];
    };
    const connected = members.filter(member => member.connected).length;
    return ready && connected >= this.backendUrls.size;
  }

  /** Reads the status of an entry or agent as a typed value. */
  async readStatus(name: string): Promise<ProcessStatus> {
    const { addresses } = this.processes.getProcess(name);
    const url = `http://${addresses.operators ?? ''}/v1/admin/status`;
    return (await this.get(url)) as ProcessStatus;
  }

  /** Gets JSON from a process of the fleet. */
  async get(url: string): Promise<unknown> {
    const response = await requestJson({
      method: 'GET',
      url,
      timeoutMs: callTimeoutMs,
    });
    return response.unwrap().body;
  }

  private async post(url: string, body: unknown): Promise<void> {
    const timeoutMs = callTimeoutMs;
    (await requestJson({ method: 'POST', url, body, timeoutMs })).unwrap();
  }
}
