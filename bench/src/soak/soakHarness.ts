/** Runs gateway processes between a stand-in store and stand-in servers, with a TCP relay on each link. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  PlatformStoreStandIn,
  type StoreCopy,
  StoreMode,
  TcpRelay,
  type SeededRandom,
  waitFor,
  formatConfigurationRecord,
  formatServerRecord,
} from '@lycheetally/testkit';
import { findFreePort } from '../freePort.js';
import { leaveMs } from './checkLeaving.js';
import { GatewayProcess } from './gatewayProcess.js';
import { ServerProcess } from './serverProcess.js';
import { soakHost } from './soakCallers.js';
import { SoakServer } from './soakServers.js';
import { ServerKind, type CrashRecord, type SoakRun } from './types.js';

const gatewayCount = 2;
const serverCount = 3;
const keyCount = 4;

/** Milliseconds after which every gateway must reject a revoked key; short to keep the runs short. */
const revokeMs = 2_000;

/** Time between two pauses of servers, in milliseconds; the deadlines of calls allow for one pause. */
const pauseIntervalMs = 3_000;

/** Seconds that a stopping gateway waits for its open calls. */
export const drainSeconds = 5;

const serversTable = 'keyed.servers';
const operatorsTable = 'keyed.op';

/** A value that a writer holds in the store. */
interface WrittenValue {
  readonly table: string;
  readonly key: string;
  readonly value: unknown;
}

/** What a soak runs in processes. */
export interface SoakProcesses {
  readonly gateways: number;
  /** With none, the servers live in this process. */
  readonly servers: number;
  /** Time from the end of a server process until it starts again, in milliseconds. */
  readonly restartMs: number;
  readonly serverKind: ServerKind;
}

export const defaultProcesses: SoakProcesses = {
  gateways: gatewayCount,
  servers: 0,
  restartMs: 1_500,
  serverKind: ServerKind.Sound,
};

export class SoakHarness {
  readonly store = new PlatformStoreStandIn();
  readonly gateways: GatewayProcess[] = [];
  readonly servers: SoakServer[] = [];
  readonly serverProcesses: ServerProcess[] = [];
  /** Links from each gateway to the store, and from all gateways to each server. */
  readonly storeLinks: TcpRelay[] = [];
  readonly serverLinks: TcpRelay[] = [];
  readonly startedAt = Date.now();
  readonly accounts = new Map<string, string>();
  readonly revocationDeadlines = new Map<string, number>();
  /** When each server that left was to get no more calls, in milliseconds since the start. */
  readonly leaveDeadlines = new Map<string, number>();
  private readonly folder = mkdtempSync(join(tmpdir(), 'lycheetally-soak-'));
  /** What each key was last written with. */
  private readonly written = new Map<string, WrittenValue>();
  private version = 1;
  private mayPauseAt = 0;

  constructor(
    private readonly seed: number,
    /** Time limit of every route, from the next version of the configuration on. */
    public routeTimeoutMs: number,
    private readonly processes = defaultProcesses,
  ) {
    for (let index = 0; index < keyCount; index += 1) {
      this.accounts.set(`key-${String(index)}`, `account-${String(index)}`);
    }
  }

  async start(): Promise<void> {
    const store = await this.store.listen();
    const { gateways, servers } = this.processes;
    for (let index = 0; index < servers; index += 1) {
      await this.addServerProcess(`i-${String(index)}`);
    }
    for (let index = 0; servers === 0 && index < serverCount; index += 1) {
      await this.addServer(`i-${String(index)}`, this.seed * 10 + index);
    }
    this.publishConfiguration();
    for (let index = 0; index < gateways; index += 1) {
      await this.addGateway(`gateway-${String(index)}`, store);
    }
    await this.waitUntilReady();
    if (servers > 0) {
      await Promise.all(this.gateways.map(each => each.waitForPeers(gateways)));
    }
  }

  /** Gateways that faults may stop: all, or one beside servers that crash. */
  get disturbed(): readonly GatewayProcess[] {
    return this.gateways.slice(0, this.processes.servers > 0 ? 1 : undefined);
  }

  listRuns(): SoakRun[] {
    return [...this.servers, ...this.serverProcesses].flatMap(
      ({ runs }) => runs,
    );
  }

  /** Returns what became of the server processes, if there are any. */
  getCrashes(): CrashRecord | undefined {
    const { length } = this.serverProcesses;
    return length === 0
      ? undefined
      : {
          serverCount: length,
          deadlyRuns: this.serverProcesses.flatMap(each => each.deadlyRuns),
          outages: this.serverProcesses.flatMap(each => each.outages),
        };
  }

  /** Publishes a new version of the configuration; the store has it when the call returns. */
  publishConfiguration(): void {
    this.version += 1;
    const accounts = [...this.accounts]
      .filter(([key]) => !this.revocationDeadlines.has(key))
      .map(([key, name]) => ({ name, keys: [key] }));
    const configuration = formatConfigurationRecord({
      version: this.version,
      host: soakHost,
      timeoutMs: this.routeTimeoutMs,
      accounts,
    });
    this.put(operatorsTable, 'config', configuration);
  }

  revokeKey(key: string): void {
    if (!this.revocationDeadlines.has(key)) {
      this.revocationDeadlines.set(key, Date.now() - this.startedAt + revokeMs);
      this.publishConfiguration();
    }
  }

  /**
   * Adds a server and lets another one leave, which serves on. It writes that it leaves
   * or only removes its entry, and may say so in its answers.
   */
  async replaceServer(random: SeededRandom): Promise<void> {
    const staying = this.servers.filter(
      ({ serverId }) => !this.leaveDeadlines.has(serverId),
    );
    const at = this.servers.length;
    const leaver = random.pickOne(staying);
    const [saysSo, isRemoved] = [random.pickInteger(2), random.pickInteger(2)];
    const deadline = Date.now() - this.startedAt + leaveMs;
    this.leaveDeadlines.set(leaver.serverId, deadline);
    await this.addServer(`i-${String(at)}`, this.seed * 10 + at);
    leaver.leave(saysSo === 1);
    const link = this.serverLinks[this.servers.indexOf(leaver)];
    const address = (await link?.listen()) ?? '';
    this.put(
      serversTable,
      leaver.serverId,
      isRemoved === 1
        ? undefined
        : formatServerRecord(address, { slots: 50, state: 'draining', seq: 2 }),
    );
  }

  /** Lets some servers fall silent and go on, unless others did so a short time ago. */
  async pauseServers(
    count: number,
    forMs: number,
    random: SeededRandom,
  ): Promise<void> {
    const first = random.pickInteger(this.servers.length);
    if (Date.now() < this.mayPauseAt) {
      return;
    }
    this.mayPauseAt = Date.now() + forMs + pauseIntervalMs;
    const paused = [
      ...this.servers.slice(first),
      ...this.servers.slice(0, first),
    ].slice(0, count);
    paused.forEach(({ backend }) => {
      backend.pause();
    });
    await waitFor(forMs);
    paused.forEach(({ backend }) => {
      backend.resume();
    });
  }

  /** Puts the store back to an older copy, after which each writer writes again what it wrote last. */
  resetStore(copy: StoreCopy): void {
    this.store.resetTo(copy);
    for (const { table, key, value } of this.written.values()) {
      this.store.put(table, key, value);
    }
  }

  /** Drops the change history of the store. */
  dropHistory(): void {
    this.store.dropHistory(serversTable);
    this.store.dropHistory(operatorsTable);
  }

  /** Ends the faults of the store and of the servers. */
  endFaults(): void {
    this.store.mode = StoreMode.Up;
    for (const server of this.servers) {
      server.isFaultFree = true;
    }
    this.serverProcesses.forEach(each => {
      each.endFaults();
    });
  }

  async waitUntilReady(): Promise<void> {
    await Promise.all(this.gateways.map(each => each.waitUntilReady()));
  }

  /** Waits for the gateways and returns those that do not become ready in time. */
  async listUnready(): Promise<GatewayProcess[]> {
    const unready = await Promise.all(
      this.gateways.map(gateway =>
        gateway.waitUntilReady().then(
          () => [],
          () => [gateway],
        ),
      ),
    );
    return unready.flat();
  }

  async dispose(): Promise<void> {
    await Promise.all(this.gateways.map(each => each.dispose()));
    for (const link of [...this.storeLinks, ...this.serverLinks]) {
      link.dispose();
    }
    for (const { backend } of this.servers) {
      backend.close();
    }
    this.serverProcesses.forEach(each => {
      each.dispose();
    });
    this.store.close();
    rmSync(this.folder, { recursive: true });
  }

  private put(table: string, key: string, value?: unknown): void {
    this.written.set(`${table} ${key}`, { table, key, value });
    this.store.put(table, key, value);
  }

  private async addServer(serverId: string, seed: number): Promise<void> {
    const server = new SoakServer(serverId, seed);
    const link = new TcpRelay(await server.backend.listen());
    this.servers.push(server);
    this.serverLinks.push(link);
    const record = formatServerRecord(await link.listen(), { slots: 50 });
    this.put(serversTable, serverId, record);
  }

  private async addServerProcess(serverId: string): Promise<void> {
    const server = new ServerProcess({
      serverId,
      port: await findFreePort(),
      kind: this.processes.serverKind,
      seed: (this.seed * serverCount + this.serverProcesses.length) * 1_000,
      restartMs: this.processes.restartMs,
      getNow: () => Date.now() - this.startedAt,
      publish: address => {
        const fields = { slots: 50, born: Date.now() };
        const record = formatServerRecord(address, fields);
        this.put(serversTable, serverId, record);
      },
    });
    this.serverProcesses.push(server);
    await server.start();
  }

  private async addGateway(name: string, store: string): Promise<void> {
    const link = new TcpRelay(store);
    this.storeLinks.push(link);
    const [port, readyPort] = [await findFreePort(), await findFreePort()];
    const peerPort = await findFreePort();
    const gateway = new GatewayProcess(name, port, readyPort, this.folder, {
      process: { id: name, failureDomain: 'zone-a', drainSeconds },
      listen: {
        callers: `127.0.0.1:${String(port)}`,
        readiness: `127.0.0.1:${String(readyPort)}`,
        ...(this.processes.servers > 0
          ? { gateways: `127.0.0.1:${String(peerPort)}` }
          : {}),
      },
      rules: {
        heartbeatMs: 1_200,
        revokeMs,
        retryRatio: 1,
        retrySlack: 200,
        retryWindowSeconds: 1,
      },
      platform: { store: await link.listen(), partitions: 1 },
    });
    this.gateways.push(gateway);
    gateway.start();
  }
}
