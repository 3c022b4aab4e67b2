/**
 * The agent node, through which all work reaches its backend server.
 *
 * It queues work by rank, limits how much runs at once, runs each attempt at
 * most once, and relays activations and tokens along a chain of stages.
 */
import type { ChartMachine } from '@lycheetally/charts';
import {
  ErrorKind,
  LogComponent,
  formatAddress,
  type Address,
  type Milliseconds,
  getOrThrow,
} from '@lycheetally/common';
import { toPosition } from '@lycheetally/decisions';
import {
  MessageKind,
  type AttemptRef,
  type Backend,
  type Hello,
  type Offer,
  type PeerMessage,
  type Refused,
  type Resume,
} from '@lycheetally/protocol';
import { maxEndedAttempts, maxKeptAnswers } from '../constants.js';
import { ConfigSync } from '../config/configSync.js';
import { ConfigHolder, bindHolderChart } from '../config/configHolder.js';
import { addGauge } from '../metrics/nodeMetrics.js';
import {
  AgentMembership,
  bindAgentMembershipChart,
} from '../membership/agentMembership.js';
import { IncomingChannel } from '../peers/incomingChannel.js';
import type { OutgoingChannel } from '../peers/outgoingChannel.js';
import type { PeerChannel } from '../peers/peerChannel.js';
import type { BackendPort } from '../ports/backend.js';
import type { SlotQueue } from '../ports/slotQueue.js';
import {
  RouterNode,
  type NodeEvents,
  type NodePorts,
  type NodeSettings,
} from '../routerNode.js';
import { receiveBackendEvent } from './backendRelay.js';
import {
  bindWatchChart,
  startWatch,
  type WatchMachine,
} from './backendWatch.js';
import { EndedAttempts, type EndedAttempt } from './endedAttempts.js';
import { answerForEndedAttempt, sendMissedTokens } from './resumeWork.js';
import { failWorkOfLostStage, receiveFromStage } from './stageMessages.js';
import { bindWorkChart } from './workActions.js';
import {
  createWorkContext,
  formatAttemptKey,
  type BackendEvent,
  type WorkContext,
  type WorkEvent,
  type WorkServices,
} from './workContext.js';

/** Events that the event loop of an agent handles. */
export interface AgentEvents extends NodeEvents {
  backendReported: { work: WorkContext; event: BackendEvent };
  slotGranted: { work: WorkContext };
}

/** Ports that an agent depends on. */
export interface AgentPorts extends NodePorts {
  readonly backend: BackendPort;
  readonly slots: SlotQueue;
}

export interface AgentSettings extends NodeSettings {
  /** Entries to which the agent announces itself. */
  readonly knownEntries: readonly Address[];
  readonly backend: Backend;
  /** Milliseconds without an answer after which an engine is considered silent. */
  readonly silenceTimeoutMs: Milliseconds;
}

export class AgentNode extends RouterNode<AgentEvents> {
  private readonly workMachine: ChartMachine<WorkContext, WorkEvent>;
  private readonly watchMachine: WatchMachine;
  private readonly services: WorkServices;
  private readonly openWork = new Map<string, WorkContext>();
  private readonly endedAttempts = new EndedAttempts(
    maxEndedAttempts,
    maxKeptAnswers,
  );
  /** The latest channel to each node that owns work at this agent, by node id. */
  private readonly ownerChannels = new Map<string, PeerChannel>();
  private readonly configHolder: ConfigHolder;
  private readonly configSync: ConfigSync;
  private peerAddress = '';
  private readonly membership: AgentMembership;
  private readonly nextStageChannels = new Map<string, OutgoingChannel>();

  constructor(
    private readonly agentSettings: AgentSettings,
    private readonly agentPorts: AgentPorts,
  ) {
    super(agentSettings, agentPorts, LogComponent.Agent);
    this.workMachine = getOrThrow(bindWorkChart());
    this.watchMachine = getOrThrow(bindWatchChart());
    this.services = this.createServices();
    const holderMachine = getOrThrow(bindHolderChart());
    this.configHolder = new ConfigHolder(holderMachine, this.loop, this.events);
    this.membership = this.createMembership();
    this.configSync = new ConfigSync({
      getState: () => this.configHolder.state,
      applyPeerState: (state, now) => {
        this.configHolder.receive({ type: 'PEER_STATE_RECEIVED', state }, now);
      },
    });
    this.addGauges();
    this.loop.setHandlers({
      ...this.createNodeHandlers(),
      backendReported: ({ work, event }, now) => {
        receiveBackendEvent(work, event, now);
      },
      slotGranted: ({ work }, now) => {
        work.instance?.send({ type: 'SLOT_GRANTED' }, now);
      },
    });
  }

  /** Opens the ports; returns their addresses. Throws `BadAddress`. */
  async start(
    peers: Address,
    operators: Address,
  ): Promise<{ peers: Address; operators: Address }> {
    const boundPeers = await this.listenForPeers(peers);
    const boundOperators = await this.listenForOperators(operators);
    this.peerAddress = formatAddress(boundPeers);
    this.startServing(this.clock.getNow());
    return { peers: boundPeers, operators: boundOperators };
  }

  /** Opens the port for entries and earlier stages. Throws `BadAddress`. */
  async listenForPeers(address: Address): Promise<Address> {
    const { network } = this.ports;
    return getOrThrow(
      await network.listen(address, stream => this.acceptStream(stream)),
    );
  }

  /** Starts to handle events. */
  startServing(now: Milliseconds): void {
    this.configHolder.start(now);
    this.membership.start(now);
    for (const entry of this.agentSettings.knownEntries) {
      this.createOutgoingChannel(formatAddress(entry), now);
    }
    this.startLifecycle(now);
  }

  override describeSelf(): Hello {
    return {
      nodeId: this.settings.id,
      incarnation: this.incarnation,
      failureDomain: this.settings.failureDomain,
      backend: this.agentSettings.backend,
      agentAddress: this.peerAddress,
    };
  }

  override describeStatus(): object {
    return {
      process: this.settings.id,
      role: 'agent',
      incarnation: this.incarnation,
      ready: this.isReady(),
      leaving: this.isLeaving,
      configVersion: this.configHolder.state?.configuration.version ?? 0,
      config: toPosition(this.configHolder.state),
      backend: this.agentSettings.backend,
      running: this.agentPorts.slots.running,
      waiting: this.agentPorts.slots.waiting,
      work: this.openWork.size,
    };
  }

  override handlePeerOpen(channel: PeerChannel, now: Milliseconds): void {
    if (!channel.remote || channel.remote.backend?.serverId === this.serverId) {
      return;
    }
    if (this.isIncoming(channel)) {
      const { nodeId } = channel.remote;
      this.ownerChannels.set(nodeId, channel);
      // The new channel replaces an earlier one; running work of an entry waits to be resumed.
      this.handleOwnerDisconnected(nodeId, now);
      this.sendReport(channel);
      this.configSync.handleOpen(channel);
    }
  }

  override handlePeerLost(channel: PeerChannel, now: Milliseconds): void {
    const ownerId = channel.remote?.nodeId;
    if (ownerId !== undefined && this.ownerChannels.get(ownerId) === channel) {
      this.ownerChannels.delete(ownerId);
      this.handleOwnerDisconnected(ownerId, now);
    }
    failWorkOfLostStage(this.openWork.values(), channel, now);
  }

  override handlePeerUnreachable(): void {
    // Work that needs a later stage ends when its reservation times out or its connection is lost.
  }

  override handlePeerMessage(
    channel: PeerChannel,
    message: PeerMessage,
    now: Milliseconds,
  ): void {
    switch (message.kind) {
      case MessageKind.Offer:
        this.receiveOffer(channel, message.value, now);
        return;
      case MessageKind.Leave:
        this.membership.receiveLeave(message.value.incarnation, now);
        return;
      case MessageKind.Cancel:
        this.findWork(message.value)?.instance?.send({ type: 'CANCEL' }, now);
        return;
      case MessageKind.Revoke:
        this.receiveRevoke(channel, message.value, now);
        return;
      case MessageKind.Resume:
        this.receiveResume(channel, message.value, now);
        return;
      default:
        if (!this.configSync.receive(channel, message, now)) {
          this.receiveFromStage(channel, message, now);
        }
    }
  }

  protected override stopAdmission(): void {
    for (const channel of this.ownerChannels.values()) {
      this.sendReport(channel);
    }
  }

  protected override cancelOpenWork(now: Milliseconds): void {
    for (const work of [...this.openWork.values()]) {
      work.instance?.send({ type: 'CANCEL' }, now);
    }
  }

  protected override countOpenWork(): number {
    return this.openWork.size;
  }

  private get isLeaving(): boolean {
    return this.isStopping || this.membership.isLeaving;
  }

  private createMembership(): AgentMembership {
    return new AgentMembership(
      getOrThrow(bindAgentMembershipChart()),
      this.loop,
      this.incarnation,
      this.events,
      () => {
        this.stopAdmission();
      },
    );
  }

  private addGauges(): void {
    if (!this.isMetricsEnabled) {
      return;
    }
    const { slots } = this.agentPorts;
    addGauge(
      this.registry,
      'work_running',
      'Work that holds a place',
      () => slots.running,
    );
    addGauge(
      this.registry,
      'work_waiting',
      'Work that waits for a place',
      () => slots.waiting,
    );
  }

  private get serverId(): string {
    return this.agentSettings.backend.serverId;
  }

  private isIncoming(channel: PeerChannel): boolean {
    return channel instanceof IncomingChannel;
  }

  private findWork(ref: AttemptRef): WorkContext | undefined {
    return this.openWork.get(formatAttemptKey(ref));
  }

  private receiveOffer(
    channel: PeerChannel,
    offer: Offer,
    now: Milliseconds,
  ): void {
    const key = formatAttemptKey(offer);
    if (this.openWork.has(key)) {
      return;
    }
    if (this.endedAttempts.has(key)) {
      answerForEndedAttempt(
        this.endedAttempts.get(key),
        channel,
        offer,
        this.serverId,
      );
      return;
    }
    const refusal = this.checkOffer(offer);
    if (refusal) {
      const value = {
        ...toAttemptRef(offer),
        ...refusal,
        serverId: this.serverId,
      };
      const end: PeerMessage = { kind: MessageKind.Refused, value };
      this.endedAttempts.add(key, { end, tokens: [] });
      channel.send(end);
      return;
    }
    this.startWork(channel.remote?.nodeId ?? '', offer, now);
  }

  private checkOffer(offer: Offer): Refusal | undefined {
    const stage = offer.stages[offer.stageIndex];
    if (this.isLeaving) {
      return createRefusal(ErrorKind.ShuttingDown, 'the agent is leaving');
    }
    if (stage?.incarnation !== this.incarnation) {
      return createRefusal(
        ErrorKind.BadMessage,
        'the offer is for an earlier start of the agent',
      );
    }
    return undefined;
  }

  private startWork(ownerId: string, offer: Offer, now: Milliseconds): void {
    const work = createWorkContext(this.services, offer, ownerId, now);
    work.instance = this.workMachine.createInstance(work, this.loop);
    this.openWork.set(formatAttemptKey(offer), work);
    work.instance.start(now);
  }

  private receiveRevoke(
    channel: PeerChannel,
    ref: AttemptRef,
    now: Milliseconds,
  ): void {
    const work = this.findWork(ref);
    if (work) {
      work.instance?.send({ type: 'REVOKE' }, now);
      // The sender may be another entry, which handles a repeat of the request and does not own the work.
      if (work.instance?.matches('running')) {
        channel.send({ kind: MessageKind.Started, value: toAttemptRef(ref) });
      }
      return;
    }
    const key = formatAttemptKey(ref);
    if (this.endedAttempts.has(key)) {
      answerForEndedAttempt(
        this.endedAttempts.get(key),
        channel,
        ref,
        this.serverId,
      );
      return;
    }
    const revoked: PeerMessage = {
      kind: MessageKind.Revoked,
      value: toAttemptRef(ref),
    };
    this.endedAttempts.add(key, { end: revoked, tokens: [] });
    this.events.record('work-revoked', now, toAttemptRef(ref));
    channel.send(revoked);
  }

  private receiveResume(
    channel: PeerChannel,
    resume: Resume,
    now: Milliseconds,
  ): void {
    const work = this.findWork(resume);
    if (work) {
      sendMissedTokens(work, channel, resume.fromIndex, now);
      return;
    }
    const ended = this.endedAttempts.get(formatAttemptKey(resume));
    answerForEndedAttempt(
      ended,
      channel,
      resume,
      this.serverId,
      resume.fromIndex,
    );
  }

  private receiveFromStage(
    channel: PeerChannel,
    message: PeerMessage,
    now: Milliseconds,
  ): void {
    const work = 'requestId' in message.value && this.findWork(message.value);
    if (work) {
      receiveFromStage(work, channel, message, now);
    }
  }

  private handleOwnerDisconnected(ownerId: string, now: Milliseconds): void {
    for (const work of [...this.openWork.values()]) {
      if (work.ownerId === ownerId) {
        work.instance?.send({ type: 'OWNER_DISCONNECTED' }, now);
      }
    }
  }

  private sendReport(channel: PeerChannel): void {
    channel.send({
      kind: MessageKind.Report,
      value: {
        leaving: this.isLeaving,
        running: this.agentPorts.slots.running,
        waiting: this.agentPorts.slots.waiting,
        queueDelayMs: 0,
      },
    });
  }

  private createServices(): WorkServices {
    return {
      serverId: this.serverId,
      events: this.events,
      log: this.log,
      slots: this.agentPorts.slots,
      backend: this.agentPorts.backend,
      sendToOwner: (nodeId, message) => {
        this.ownerChannels.get(nodeId)?.send(message);
      },
      getNextStageChannel: (address, now) =>
        this.getNextStageChannel(address, now),
      handleWorkEnded: (work, ended, now) => {
        this.handleWorkEnded(work, ended, now);
      },
      startWatch: (work, now) =>
        startWatch(
          this.watchMachine,
          this.loop,
          work,
          this.agentSettings.silenceTimeoutMs,
          now,
        ),
      postSlotGranted: work => {
        this.loop.post('slotGranted', { work });
      },
      postBackendEvent: (work, event) => {
        this.loop.post('backendReported', { work, event });
      },
    };
  }

  private getNextStageChannel(address: string, now: Milliseconds): PeerChannel {
    const known = this.nextStageChannels.get(address);
    if (known) {
      return known;
    }
    const channel = this.createOutgoingChannel(address, now);
    this.nextStageChannels.set(address, channel);
    return channel;
  }

  private handleWorkEnded(
    work: WorkContext,
    ended: EndedAttempt,
    now: Milliseconds,
  ): void {
    work.instance?.dispose();
    const key = formatAttemptKey(work.offer);
    this.openWork.delete(key);
    this.endedAttempts.add(key, ended);
    this.loop.schedule(0, later => {
      this.checkDrained(later);
    });
    this.events.record('work-ended', now, work.ref);
  }
}

const toAttemptRef = (ref: AttemptRef): AttemptRef => ({
  requestId: ref.requestId,
  attempt: ref.attempt,
});

/** Reason for the refusal of an offer. */
type Refusal = Omit<Refused, keyof AttemptRef | 'serverId'>;

const createRefusal = (kind: ErrorKind, reason: string): Refusal => ({
  kind,
  reason,
  retryAfterMs: 0,
});
