/**
 * The entry: takes callers' requests, routes them, and answers each with one
 * of the four outcomes.
 */
import type { ChartMachine } from '@lycheetally/charts';
import {
  LogPart,
  type TypedError,
  type Address,
  type Milliseconds,
  type Result,
} from '@lycheetally/common';
import {
  ConditionalAcceptance,
  Outcome,
  RendezvousSubset,
  type GatherPolicy,
  emptyConfiguration,
  toPosition,
  type Route,
  type ServerView,
  type SnapshotPolicy,
} from '@lycheetally/decisions';
import {
  MessageKind,
  type AttemptRef,
  type Hello,
  type PeerMessage,
} from '@lycheetally/protocol';
import type { ClaimLogEvents, ClaimSettings } from '../claims/claimBook.js';
import {
  createClaimHandlers,
  createEntryClaims,
} from '../claims/connectClaims.js';
import type { EntryClaims } from '../claims/entryClaims.js';
import { ConfigFeed } from '../config/configFeed.js';
import {
  ConfigFollower,
  bindFollowerChart,
  type FollowerEvent,
} from '../config/configFollower.js';
import {
  CallersServer,
  CallersSink,
  type RefusedCall,
} from '../adapters/callersHttp.js';
import type { LedgerQuery } from '../ledger/outcomeLedger.js';
import type { LedgerPage } from '../ledger/outcomeRecord.js';
import { createRefusalRecord } from '../ledger/recordOutcome.js';
import type { EntryGauges } from '../metrics/entryMetrics.js';
import { maxDepartedStarts, vmListIntervalMs } from '../constants.js';
import {
  DepartedStarts,
  bindMemberChart,
  type Member,
} from '../membership/member.js';
import { MemberDirectory } from '../membership/memberDirectory.js';
import { IncomingChannel } from '../peers/incomingChannel.js';
import type { OutgoingChannel } from '../peers/outgoingChannel.js';
import type { PeerChannel } from '../peers/peerChannel.js';
import type { CallerCall, CallerExchange } from '../ports/callerExchange.js';
import {
  VmState,
  type LogPort,
  type VmListPort,
  type VmRecord,
} from '../ports/platform.js';
import {
  RouterNode,
  takeValue,
  type NodeEvents,
  type NodePorts,
  type NodeSettings,
} from '../routerNode.js';
import { acceptCall, findAccount } from './acceptCall.js';
import { bindAttemptChart } from './attemptActions.js';
import { toAttemptEvent } from './attemptMessages.js';
import { sendConnectionEvent } from './attemptConnections.js';
import { EntryOperations } from './entryOperations.js';
import { bindRequestChart } from './requestActions.js';
import {
  createRequestContext,
  type CallerRequest,
  type EntryPolicies,
  type RequestContext,
  type RequestEvent,
  type RequestServices,
} from './requestContext.js';
import { deliverToken, type RelayCounts } from './tokenRelay.js';

/** Events that an entry takes. */
export interface EntryEvents extends NodeEvents, ClaimLogEvents {
  callReceived: { call: CallerCall; exchange: CallerExchange };
  callRefused: { call: RefusedCall; error: TypedError };
  callerGone: { exchange: CallerExchange };
  followerEvent: { event: FollowerEvent };
  vmListRead: { list: Result<readonly VmRecord[]> };
}

/** Ports that an entry is given. */
export interface EntryPorts extends NodePorts {
  readonly log: LogPort;
  readonly vmList: VmListPort;
  readonly policies: EntryPolicies;
  readonly gathering: GatherPolicy;
  /** Says when the configuration's stream gets a snapshot. */
  readonly snapshots: SnapshotPolicy;
}

export interface EntrySettings extends NodeSettings {
  /** The largest body that a caller may send, in bytes. */
  readonly maxBodyBytes: number;
  /** The most backend servers that the entry keeps connections to. */
  readonly maxServers: number;
  readonly claims?: ClaimSettings;
}

/** Addresses that an entry listens on. */
export interface EntryAddresses {
  readonly callers: Address;
  readonly operators: Address;
  /** Where agents may announce themselves; absent when they may not. */
  readonly peers?: Address | undefined;
}

/** Hands calls from the front end into the loop. */
class EntryCallersSink extends CallersSink {
  constructor(private readonly node: EntryNode) {
    super();
  }

  override receiveCall(call: CallerCall, exchange: CallerExchange): void {
    this.node.loop.post('callReceived', { call, exchange });
  }

  override receiveRefusedCall(call: RefusedCall, error: TypedError): void {
    this.node.loop.post('callRefused', { call, error });
  }

  override handleCallerGone(exchange: CallerExchange): void {
    this.node.loop.post('callerGone', { exchange });
  }

  override listServices(bearerKey: string): readonly string[] {
    return this.node.listServices(bearerKey);
  }

  override isOpen(): boolean {
    return !this.node.isStopping;
  }
}

export class EntryNode extends RouterNode<EntryEvents> {
  readonly members: MemberDirectory<OutgoingChannel>;
  private readonly machine: ChartMachine<RequestContext, RequestEvent>;
  private readonly services: RequestServices;
  private readonly follower: ConfigFollower;
  private readonly claims: EntryClaims;
  private readonly feed: ConfigFeed;
  private readonly requests = new Map<string, RequestContext>();
  private readonly byExchange = new Map<CallerExchange, RequestContext>();
  private readonly operations: EntryOperations;
  private readonly relayCounts: RelayCounts = { delivered: 0, dropped: 0 };
  private callers: CallersServer | undefined;
  private requestCount = 0;

  constructor(
    private readonly entrySettings: EntrySettings,
    private readonly entryPorts: EntryPorts,
  ) {
    super(entrySettings, entryPorts, LogPart.Entry);
    this.operations = this.createOperations();
    this.store.add(this.operations.store);
    this.members = this.createDirectory();
    this.machine = takeValue(bindRequestChart());
    this.claims = this.createClaims();
    this.services = this.createServices();
    this.follower = this.createFollower();
    this.feed = this.createFeed();
    this.loop.setHandlers({
      ...this.createNodeHandlers(),
      callReceived: ({ call, exchange }, now) => {
        this.receiveCall(call, exchange, now);
      },
      callRefused: ({ call, error }, now) => {
        this.refuseCall(this.createRequestId(), call, error, now);
      },
      callerGone: ({ exchange }, now) => {
        this.byExchange
          .get(exchange)
          ?.instance?.send({ type: 'CALLER_GONE' }, now);
      },
      followerEvent: ({ event }, now) => {
        this.follower.receive(event, now);
      },
      ...createClaimHandlers(),
      vmListRead: ({ list }, now) => {
        this.receiveVmList(list, now);
      },
    });
  }

  /** Opens the ports; returns their addresses. Throws `BadAddress`. */
  async start(addresses: EntryAddresses): Promise<EntryAddresses> {
    const sink = new EntryCallersSink(this);
    const callers = new CallersServer(sink, this.entrySettings.maxBodyBytes);
    this.callers = callers;
    this.store.add(callers);
    const bound = {
      callers: takeValue(await callers.listen(addresses.callers)),
      operators: await this.listenForOperators(addresses.operators),
      ...(await this.listenForAgents(addresses.peers)),
    };
    this.startServing(this.clock.getNow());
    return bound;
  }

  /** Enters the loop; a front end of another kind posts its calls there. */
  startServing(now: Milliseconds): void {
    this.begin(now);
    this.follower.start(now);
    this.claims.book.start(now);
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
    return { peers: takeValue(peers) };
  }

  override isReady(): boolean {
    return super.isReady() && this.follower.inForce !== undefined;
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
      configVersion: this.follower.inForce?.version ?? 0,
      config: {
        ...toPosition(this.follower.state),
        standing: this.follower.standing,
      },
      openRequests: this.requests.size,
      tokens: this.relayCounts,
      claims: this.claims.book.describe(),
      members: this.members.listMembers().map(describeMember),
    };
  }

  /** Lists the services that a bearer key may use. */
  listServices(bearerKey: string): readonly string[] {
    const configuration = this.follower.inForce;
    const account = configuration && findAccount(bearerKey, configuration);
    return (configuration?.services ?? [])
      .filter(service => service.accounts.includes(account?.name ?? ''))
      .map(service => service.name);
  }

  override handlePeerOpen(channel: PeerChannel, now: Milliseconds): void {
    const announced = toAnnounced(channel);
    if (announced) {
      this.members.noteAnnounced(announced, now);
    }
    this.feed.handleOpen(channel);
    const earlier = this.members.findByChannel(channel)?.hello;
    const hello = this.members.noteOpen(channel, now)?.hello;
    const requests = this.requests.values();
    if (earlier && earlier.incarnation !== hello?.incarnation) {
      sendConnectionEvent(requests, earlier, 'CONNECTION_GONE', now);
      return;
    }
    sendConnectionEvent(requests, hello, 'CONNECTION_BACK', now);
  }

  override handlePeerLost(channel: PeerChannel, now: Milliseconds): void {
    this.members.removeAnnounced(toAnnounced(channel)?.agentAddress);
    const hello = this.members.findByChannel(channel)?.hello;
    const requests = this.requests.values();
    sendConnectionEvent(requests, hello, 'CONNECTION_LOST', now);
  }

  override handlePeerUnreachable(
    channel: PeerChannel,
    now: Milliseconds,
  ): void {
    const hello = this.members.findByChannel(channel)?.hello;
    const requests = this.requests.values();
    sendConnectionEvent(requests, hello, 'UNREACHABLE', now);
  }

  override handlePeerMessage(
    channel: PeerChannel,
    message: PeerMessage,
    now: Milliseconds,
  ): void {
    this.members.observeMessage(channel, message, now);
    switch (message.kind) {
      case MessageKind.Token: {
        const context = this.requests.get(message.value.requestId);
        deliverToken(context, message.value, this.relayCounts, now);
        return;
      }
      default:
        if (!this.feed.receive(channel, message, now)) {
          this.receiveAttemptMessage(message, now);
        }
    }
  }

  protected override stopAdmission(): void {
    this.callers?.close();
  }

  protected override cancelOpenWork(now: Milliseconds): void {
    for (const context of [...this.requests.values()]) {
      context.instance?.send({ type: 'STOPPING' }, now);
    }
  }

  protected override countOpenWork(): number {
    return this.requests.size;
  }

  private receiveCall(
    call: CallerCall,
    exchange: CallerExchange,
    now: Milliseconds,
  ): void {
    const requestId = this.createRequestId();
    exchange.noteAccepted(requestId);
    const accepted = this.acceptCall(requestId, call, now);
    if (accepted.err) {
      const error = accepted.val;
      this.refuseCall(requestId, call, error, now);
      exchange.finish({ requestId, outcome: Outcome.NotRun, error });
      return;
    }
    this.startRequest(accepted.val, exchange, now);
  }

  private createRequestId(): string {
    this.requestCount += 1;
    return `${this.incarnation}.${String(this.requestCount)}`;
  }

  /** Records a call that never became a request. */
  private refuseCall(
    requestId: string,
    call: RefusedCall,
    error: TypedError,
    now: Milliseconds,
  ): void {
    const callerRequestId = call.callerRequestId ?? '';
    this.events.record('request-refused', now, {
      requestId,
      detail: { kind: error.kind, callerRequestId },
    });
    const account = this.findAccountName(call.bearerKey);
    this.operations.ledger.append(
      createRefusalRecord(requestId, call, account, error, now),
    );
  }

  private findAccountName(bearerKey: string): string {
    const configuration = this.follower.inForce;
    return (configuration && findAccount(bearerKey, configuration)?.name) ?? '';
  }

  private acceptCall(
    requestId: string,
    call: CallerCall,
    now: Milliseconds,
  ): Result<CallerRequest> {
    const configuration = this.follower.inForce ?? emptyConfiguration;
    return acceptCall(requestId, call, configuration, now);
  }

  private startRequest(
    request: CallerRequest,
    exchange: CallerExchange,
    now: Milliseconds,
  ): void {
    const context = createRequestContext(this.services, request, exchange);
    this.events.record('request-accepted', now, {
      requestId: request.requestId,
      detail: {
        account: request.account,
        rank: request.rank,
        service: request.service.name,
        callerRequestId: request.callerRequestId ?? '',
      },
    });
    context.instance = this.machine.createInstance(context, this.loop);
    this.requests.set(request.requestId, context);
    this.byExchange.set(exchange, context);
    context.instance.start(now);
  }

  private receiveAttemptMessage(message: PeerMessage, now: Milliseconds): void {
    this.claims.receiveAnswer(message, now);
    const event = toAttemptEvent(message);
    if (!event) {
      return;
    }
    const { requestId, attempt: number } = message.value as AttemptRef;
    const attempt = this.requests.get(requestId)?.attempt;
    if (attempt?.ref.attempt === number) {
      attempt.instance?.send(event, now);
    }
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
      countDroppedTokens: () => this.relayCounts.dropped,
      countDeliveredTokens: () => this.relayCounts.delivered,
    };
  }

  private createFollower(): ConfigFollower {
    return new ConfigFollower(takeValue(bindFollowerChart()), {
      nodeId: this.settings.id,
      timers: this.loop,
      acceptance: new ConditionalAcceptance(),
      snapshots: this.entryPorts.snapshots,
      logPort: this.operations.logPort,
      events: this.events,
      log: this.ports.loggers.createLogger(LogPart.Config),
      postFollowerEvent: event => {
        this.loop.post('followerEvent', { event });
      },
    });
  }

  private createDirectory(): MemberDirectory<OutgoingChannel> {
    return new MemberDirectory({
      entryId: this.settings.id,
      machine: takeValue(bindMemberChart()),
      services: {
        timers: this.loop,
        events: this.events,
        departed: new DepartedStarts(maxDepartedStarts),
      },
      subset: new RendezvousSubset(this.entrySettings.maxServers),
      openChannel: (address, now) => this.createOutgoing(address, now),
    });
  }

  private createClaims(): EntryClaims {
    const environment = {
      loop: this.loop,
      logPort: this.entryPorts.log,
      gathering: this.entryPorts.gathering,
      events: this.events,
      log: this.ports.loggers.createLogger(LogPart.Claims),
      members: this.members,
    };
    const now = this.clock.getNow();
    return createEntryClaims(environment, this.entrySettings.claims, now);
  }

  private createFeed(): ConfigFeed {
    const feed = new ConfigFeed({
      getState: () => this.follower.state,
      takeState: (state, now) => {
        this.follower.receive({ type: 'HANDED_OVER', state }, now);
      },
    });
    this.store.add(
      this.follower.advanced.subscribe(span => {
        feed.publishStep(span, this.members.listOpenChannels());
      }),
    );
    return feed;
  }

  private createServices(): RequestServices {
    return {
      entryId: this.settings.id,
      timers: this.loop,
      events: this.events,
      log: this.log,
      policies: this.entryPorts.policies,
      attempts: takeValue(bindAttemptChart()),
      claims: this.claims,
      getConfiguration: () => this.follower.inForce,
      listServers: service => this.members.listServers(service),
      sendToServer: (server, message) => this.sendToServer(server, message),
      countOutstanding: (route, change) => {
        this.countOutstanding(route, change);
      },
      recordOutcome: record => {
        this.operations.ledger.append(record);
      },
      handleRequestEnded: (context, now) => {
        this.requests.delete(context.request.requestId);
        this.byExchange.delete(context.exchange);
        this.checkDrained(now);
      },
    };
  }

  /** Sends to one start of an agent; a later start must not hear of it. */
  private sendToServer(server: ServerView, message: PeerMessage): boolean {
    const member = this.members.findByServer(server.serverId);
    const isSame = member?.hello?.incarnation === server.incarnation;
    if (!member?.channel.isOpen || !isSame) {
      return false;
    }
    member.channel.send(message);
    return true;
  }

  private countOutstanding(route: Route, change: 1 | -1): void {
    for (const server of route) {
      const member = this.members.findByServer(server.serverId);
      if (member) {
        member.outstanding += change;
      }
    }
  }
}

// An agent that opened a channel itself says where it listens.
const toAnnounced = (channel: PeerChannel): VmRecord | undefined => {
  const hello = channel instanceof IncomingChannel ? channel.remote : undefined;
  if (!hello?.backend || !hello.agentAddress) {
    return undefined;
  }
  const { agentAddress, failureDomain } = hello;
  return { vmId: '', agentAddress, failureDomain, state: VmState.Live };
};

const describeMember = (member: Member): object => ({
  server: member.hello?.backend?.serverId ?? '',
  address: member.address,
  service: member.hello?.backend?.service ?? '',
  failureDomain: member.vm.failureDomain,
  connected: member.channel.isOpen,
  leaving: member.isLeaving,
  outstanding: member.outstanding,
});
