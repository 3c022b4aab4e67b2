/**
 * The entry node: accepts calls, routes them to agents, and answers each with
 * one of the four outcomes.
 */
import {
  LogComponent,
  type Address,
  type Milliseconds,
  type Result,
  getOrThrow,
} from '@lycheetally/common';
import {
  ConditionalAcceptance,
  RendezvousSubset,
  UnservedCall,
  toPosition,
  type Route,
  type ServerView,
} from '@lycheetally/decisions';
import {
  MessageKind,
  type Hello,
  type PeerMessage,
} from '@lycheetally/protocol';
import {
  createClaimHandlers,
  createEntryClaims,
} from '../claims/connectClaims.js';
import type { EntryClaims } from '../claims/entryClaims.js';
import { ConfigSync } from '../config/configSync.js';
import { ConfigFollower, bindFollowerChart } from '../config/configFollower.js';
import { CallersServer } from '../adapters/callersHttp.js';
import type { LedgerQuery } from '../ledger/outcomeLedger.js';
import type { LedgerPage } from '../ledger/outcomeRecord.js';
import type { EntryGauges } from '../metrics/entryMetrics.js';
import { maxDepartedIncarnations, vmListIntervalMs } from '../constants.js';
import { DepartedIncarnations, bindMemberChart } from '../membership/member.js';
import { MemberDirectory } from '../membership/memberDirectory.js';
import type { OutgoingChannel } from '../peers/outgoingChannel.js';
import type { PeerChannel } from '../peers/peerChannel.js';
import type { VmRecord } from '../ports/platform.js';
import { RouterNode } from '../routerNode.js';
import { findAccount } from './acceptCall.js';
import { toAnnouncedVm } from './announcedAgent.js';
import { bindAttemptChart } from './attemptActions.js';
import { EntryCallersSink } from './entryCallersSink.js';
import { EntryOperations } from './entryOperations.js';
import type {
  EntryAddresses,
  EntryEvents,
  EntryPorts,
  EntrySettings,
} from './entryTypes.js';
import { describeMember } from './memberStatus.js';
import { bindRequestChart } from './requestActions.js';
import { RequestRegistry } from './requestRegistry.js';
import type { RequestServices } from './requestContext.js';
import { noteToken } from './suspects/tracedRequest.js';
import { bindWorkSuspectChart } from './suspects/workSuspect.js';
import { WorkSuspects } from './suspects/workSuspects.js';
import { deliverToken, type TokenCounts } from './tokenRelay.js';

export class EntryNode extends RouterNode<EntryEvents> {
  readonly members: MemberDirectory<OutgoingChannel>;
  private readonly services: RequestServices;
  private readonly suspects: WorkSuspects;
  private readonly configFollower: ConfigFollower;
  private readonly claims: EntryClaims;
  private readonly configSync: ConfigSync;
  private readonly requests: RequestRegistry;
  private readonly operations: EntryOperations;
  private readonly tokenCounts: TokenCounts = { delivered: 0, dropped: 0 };
  private callersServer: CallersServer | undefined;

  constructor(
    private readonly entrySettings: EntrySettings,
    private readonly entryPorts: EntryPorts,
  ) {
    super(entrySettings, entryPorts, LogComponent.Entry);
    this.operations = this.createOperations();
    this.store.add(this.operations.store);
    this.members = this.createMemberDirectory();
    this.claims = this.createClaims();
    this.suspects = this.store.add(this.createSuspects());
    this.services = this.createServices();
    this.configFollower = this.createConfigFollower();
    this.configSync = this.createConfigSync();
    this.requests = this.createRequestRegistry();
    this.loop.setHandlers({
      ...this.createNodeHandlers(),
      callReceived: ({ call, exchange }, now) => {
        this.requests.receiveCall(call, exchange, now);
      },
      callRefused: ({ call, error }, now) => {
        this.requests.receiveRefusedCall(call, error, now);
      },
      callerGone: ({ exchange }, now) => {
        this.requests.handleCallerDisconnected(exchange, now);
      },
      responseEnded: (_, now) => {
        this.checkDrained(now);
      },
      followerEvent: ({ event }, now) => {
        this.configFollower.receive(event, now);
      },
      ...createClaimHandlers(),
      vmListRead: ({ list }, now) => {
        this.receiveVmList(list, now);
      },
    });
  }

  /** Opens the ports; returns their addresses. Throws `BadAddress`. */
  async start(addresses: EntryAddresses): Promise<EntryAddresses> {
    const sink = new EntryCallersSink(this.loop, this);
    const callers = new CallersServer(sink, this.entrySettings.maxBodyBytes);
    this.callersServer = callers;
    this.store.add(callers);
    const bound = {
      callers: getOrThrow(await callers.listen(addresses.callers)),
      operators: await this.listenForOperators(addresses.operators),
      ...(await this.listenForAgents(addresses.peers)),
    };
    this.startServing(this.clock.getNow());
    return bound;
  }

  /** Starts to handle events; a front end other than HTTP posts its calls to the event loop. */
  startServing(now: Milliseconds): void {
    this.startLifecycle(now);
    this.configFollower.start(now);
    this.claims.claimLog.start(now);
    this.readVmList();
  }

  private async listenForAgents(
    address: Address | undefined,
  ): Promise<{ readonly peers?: Address }> {
    if (!address) {
      return {};
    }
    const peers = await this.ports.network.listen(address, stream =>
      this.acceptStream(stream),
    );
    return { peers: getOrThrow(peers) };
  }

  override isReady(): boolean {
    return super.isReady() && this.configFollower.configuration !== undefined;
  }

  override describeSelf(): Hello {
    return {
      nodeId: this.settings.id,
      incarnation: this.incarnation,
      failureDomain: this.settings.failureDomain,
    };
  }

  override describeStatus(): object {
    return {
      process: this.settings.id,
      role: 'entry',
      incarnation: this.incarnation,
      ready: this.isReady(),
      leaving: this.isStopping,
      configVersion: this.configFollower.configuration?.version ?? 0,
      config: {
        ...toPosition(this.configFollower.state),
        standing: this.configFollower.standing,
      },
      openRequests: this.requests.size,
      tokens: this.tokenCounts,
      claims: this.claims.claimLog.describe(),
      members: this.members.listMembers().map(describeMember),
    };
  }

  /** Lists the services that a bearer key may use. */
  listServices(bearerKey: string): readonly string[] {
    const configuration = this.configFollower.configuration;
    const account = configuration && findAccount(bearerKey, configuration);
    return (configuration?.services ?? [])
      .filter(service => service.accounts.includes(account?.name ?? ''))
      .map(service => service.name);
  }

  override handlePeerOpen(channel: PeerChannel, now: Milliseconds): void {
    const announced = toAnnouncedVm(channel);
    if (announced) {
      this.members.addAnnounced(announced, now);
    }
    this.configSync.handleOpen(channel);
    const earlierHello = this.members.findByChannel(channel)?.hello;
    const hello = this.members.handleOpen(channel, now)?.hello;
    if (earlierHello && earlierHello.incarnation !== hello?.incarnation) {
      this.requests.receiveConnectionChange(
        earlierHello,
        'CONNECTION_GONE',
        now,
      );
      return;
    }
    this.requests.receiveConnectionChange(hello, 'CONNECTION_RESTORED', now);
  }

  override handlePeerLost(channel: PeerChannel, now: Milliseconds): void {
    this.members.removeAnnounced(toAnnouncedVm(channel)?.agentAddress);
    const hello = this.members.findByChannel(channel)?.hello;
    this.requests.receiveConnectionChange(hello, 'CONNECTION_LOST', now);
  }

  override handlePeerUnreachable(
    channel: PeerChannel,
    now: Milliseconds,
  ): void {
    const hello = this.members.findByChannel(channel)?.hello;
    this.requests.receiveConnectionChange(hello, 'UNREACHABLE', now);
  }

  override handlePeerMessage(
    channel: PeerChannel,
    message: PeerMessage,
    now: Milliseconds,
  ): void {
    this.members.receiveMessage(channel, message, now);
    switch (message.kind) {
      case MessageKind.Token: {
        const context = this.requests.find(message.value.requestId);
        deliverToken(context, message.value, this.tokenCounts, now);
        noteToken(context?.attempt, now);
        return;
      }
      default:
        if (!this.configSync.receive(channel, message, now)) {
          this.claims.receiveAnswer(message, now);
          this.requests.receiveAnswer(message, now);
        }
    }
  }

  protected override stopAdmission(): void {
    this.callersServer?.close();
  }

  protected override cancelOpenWork(now: Milliseconds): void {
    this.requests.cancelAll(now);
  }

  protected override countOpenWork(): number {
    const openResponses = this.callersServer?.openResponses ?? 0;
    return Math.max(this.requests.size, openResponses);
  }

  private receiveVmList(
    list: Result<readonly VmRecord[]>,
    now: Milliseconds,
  ): void {
    if (list.ok) {
      this.members.applyVmList(list.val, now);
    }
    this.loop.schedule(vmListIntervalMs, () => {
      this.readVmList();
    });
  }

  private readVmList(): void {
    void this.entryPorts.vmList.readVms().then(list => {
      this.loop.post('vmListRead', { list });
    });
  }

  override readLedger(query: LedgerQuery): LedgerPage {
    return this.operations.ledger.readPage(query, this.clock.getNow());
  }

  private createOperations(): EntryOperations {
    const { registry, events } = this;
    const { loggers } = this.ports;
    const { log } = this.entryPorts;
    return new EntryOperations({
      settings: this.settings,
      registry,
      events,
      loggers,
      log,
      gauges: this.createGauges(),
    });
  }

  private createGauges(): EntryGauges {
    return {
      getNow: () => this.clock.getNow(),
      countOpenRequests: () => this.requests.size,
      countConnectedMembers: () =>
        this.members.listMembers().filter(member => member.channel.isOpen)
          .length,
      countMembers: () => this.members.listMembers().length,
      countDroppedTokens: () => this.tokenCounts.dropped,
      countDeliveredTokens: () => this.tokenCounts.delivered,
    };
  }

  private createConfigFollower(): ConfigFollower {
    return new ConfigFollower(getOrThrow(bindFollowerChart()), {
      nodeId: this.settings.id,
      timers: this.loop,
      acceptance: new ConditionalAcceptance(),
      snapshots: this.entryPorts.snapshots,
      logPort: this.operations.logPort,
      events: this.events,
      log: this.ports.loggers.createLogger(LogComponent.Config),
      postFollowerEvent: event => {
        this.loop.post('followerEvent', { event });
      },
    });
  }

  private createMemberDirectory(): MemberDirectory<OutgoingChannel> {
    return new MemberDirectory({
      entryId: this.settings.id,
      machine: getOrThrow(bindMemberChart()),
      services: {
        timers: this.loop,
        events: this.events,
        departedIncarnations: new DepartedIncarnations(maxDepartedIncarnations),
      },
      subset: new RendezvousSubset(this.entrySettings.maxServers),
      openChannel: (address, now) => this.createOutgoingChannel(address, now),
    });
  }

  private createClaims(): EntryClaims {
    const environment = {
      loop: this.loop,
      logPort: this.entryPorts.log,
      appendBatching: this.entryPorts.appendBatching,
      events: this.events,
      log: this.ports.loggers.createLogger(LogComponent.Claims),
      members: this.members,
    };
    const now = this.clock.getNow();
    return createEntryClaims(environment, this.entrySettings.claims, now);
  }

  private createSuspects(): WorkSuspects {
    return new WorkSuspects({
      machine: getOrThrow(bindWorkSuspectChart()),
      timers: this.loop,
      policy: new UnservedCall(),
      log: this.log,
    });
  }

  private createConfigSync(): ConfigSync {
    const configSync = new ConfigSync({
      getState: () => this.configFollower.state,
      applyPeerState: (state, now) => {
        this.configFollower.receive(
          { type: 'PEER_STATE_RECEIVED', state },
          now,
        );
      },
    });
    this.store.add(
      this.configFollower.configurationChanged.subscribe(change => {
        configSync.sendStateChange(change, this.members.listOpenChannels());
      }),
    );
    return configSync;
  }

  private createRequestRegistry(): RequestRegistry {
    return new RequestRegistry({
      incarnation: this.incarnation,
      machine: getOrThrow(bindRequestChart()),
      timers: this.loop,
      events: this.events,
      ledger: this.operations.ledger,
      getConfiguration: () => this.configFollower.configuration,
      isStopping: () => this.isStopping,
      getRequestServices: () => this.services,
    });
  }

  private createServices(): RequestServices {
    return {
      entryId: this.settings.id,
      timers: this.loop,
      events: this.events,
      log: this.log,
      policies: this.entryPorts.policies,
      attemptMachine: getOrThrow(bindAttemptChart()),
      claims: this.claims,
      suspects: this.suspects,
      getConfiguration: () => this.configFollower.configuration,
      listServers: service => this.members.listServers(service),
      sendToServer: (server, message) => this.sendToServer(server, message),
      updateOutstanding: (route, change) => {
        this.updateOutstanding(route, change);
      },
      recordOutcome: record => {
        this.operations.ledger.append(record);
      },
      handleRequestEnded: (context, now) => {
        this.requests.remove(context);
        this.checkDrained(now);
      },
    };
  }

  /** Sends to one incarnation of an agent; a restarted agent must not receive the message. */
  private sendToServer(server: ServerView, message: PeerMessage): boolean {
    const member = this.members.findByServer(server.serverId);
    const isSameIncarnation = member?.hello?.incarnation === server.incarnation;
    if (!member?.channel.isOpen || !isSameIncarnation) {
      return false;
    }
    member.channel.send(message);
    return true;
  }

  private updateOutstanding(route: Route, change: 1 | -1): void {
    for (const server of route) {
      const member = this.members.findByServer(server.serverId);
      if (member) {
        member.outstanding += change;
      }
    }
  }
}
