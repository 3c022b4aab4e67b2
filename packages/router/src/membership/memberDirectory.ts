/** The backend servers that an entry knows, from the VM list and from their agents. */
import { ErrorKind, type Milliseconds } from '@lycheetally/common';
import type { ServerView, SubsetPolicy } from '@lycheetally/decisions';
import {
  MessageKind,
  type Backend,
  type PeerMessage,
  type Refused,
} from '@lycheetally/protocol';
import { VmState, type VmRecord } from '../ports/platform.js';
import {
  Member,
  type MemberChannel,
  type MemberMachine,
  type MemberServices,
} from './member.js';

export interface DirectoryOptions<Channel extends MemberChannel> {
  readonly entryId: string;
  readonly machine: MemberMachine;
  readonly services: MemberServices;
  readonly subset: SubsetPolicy;
  openChannel(address: string, now: Milliseconds): Channel;
}

export class MemberDirectory<Channel extends MemberChannel = MemberChannel> {
  private readonly byAddress = new Map<string, Member>();
  private readonly byChannel = new Map<MemberChannel, Member>();
  private readonly byServer = new Map<string, Member>();
  /** Agents that opened a channel to this entry, by agent address; the VM list may lack them. */
  private readonly announced = new Map<string, VmRecord>();

  constructor(private readonly options: DirectoryOptions<Channel>) {}

  /**
   * Applies a VM list: opens channels to new VMs, and removes members whose VM
   * was replaced or is neither listed nor connected.
   */
  applyVmList(listed: readonly VmRecord[], now: Milliseconds): void {
    const vms = this.chooseVms(listed);
    for (const member of this.listMembers()) {
      const vm = vms.get(member.address);
      const isReplaced =
        vm !== undefined && hasVmId(member.vm) && vm.vmId !== member.vm.vmId;
      if (isReplaced || (!vm && !member.channel.isOpen)) {
        this.removeMember(member, now);
      }
    }
    for (const vm of vms.values()) {
      this.applyVm(vm, now);
    }
  }

  /** Adds an agent that opened a channel to this entry. */
  addAnnounced(vm: VmRecord, now: Milliseconds): void {
    this.announced.set(vm.agentAddress, vm);
    if (!this.byAddress.has(vm.agentAddress)) {
      this.applyVm(vm, now);
    }
  }

  /** Forgets an agent's announcement when its channel is lost. */
  removeAnnounced(address: string | undefined): void {
    this.announced.delete(address ?? '');
  }

  handleOpen(channel: MemberChannel, now: Milliseconds): Member | undefined {
    const member = this.findByChannel(channel);
    const hello = channel.remote;
    if (member && hello?.backend) {
      this.byServer.set(hello.backend.serverId, member);
      member.receive({ type: 'HELLO', hello }, now);
    }
    return member;
  }

  /** Updates the member from an agent's report or refusal. */
  receiveMessage(
    channel: MemberChannel,
    message: PeerMessage,
    now: Milliseconds,
  ): void {
    const member = this.findByChannel(channel);
    if (!member) {
      return;
    }
    if (message.kind === MessageKind.Report) {
      member.report = message.value;
      if (message.value.leaving) {
        member.receive({ type: 'AGENT_LEAVING' }, now);
      }
    }
    if (message.kind === MessageKind.Refused) {
      this.applyRefusal(member, message.value, now);
    }
  }

  private applyRefusal(
    member: Member,
    refused: Refused,
    now: Milliseconds,
  ): void {
    if (refused.kind === ErrorKind.ShuttingDown) {
      const refusingMember = this.byServer.get(refused.serverId) ?? member;
      refusingMember.receive({ type: 'AGENT_LEAVING' }, now);
    }
  }

  findByServer(serverId: string): Member | undefined {
    return this.byServer.get(serverId);
  }

  findByChannel(channel: MemberChannel): Member | undefined {
    return this.byChannel.get(channel);
  }

  listOpenChannels(): readonly MemberChannel[] {
    return this.listMembers()
      .map(member => member.channel)
      .filter(channel => channel.isOpen);
  }

  listMembers(): readonly Member[] {
    return [...this.byAddress.values()];
  }

  /** Lists the servers of a service for a routing decision. */
  listServers(service: string): readonly ServerView[] {
    return this.listMembers().flatMap(member => {
      const backend = member.hello?.backend;
      return backend?.service === service ? [viewServer(member, backend)] : [];
    });
  }

  // A list may contain an address twice; a leaving record wins, otherwise the first.
  private chooseVms(
    listed: readonly VmRecord[],
  ): ReadonlyMap<string, VmRecord> {
    const byAddress = new Map<string, VmRecord>(this.announced);
    const listedAddresses = new Set<string>();
    for (const vm of this.options.subset.chooseServers(
      this.options.entryId,
      listed,
    )) {
      if (
        !listedAddresses.has(vm.agentAddress) ||
        vm.state === VmState.Leaving
      ) {
        byAddress.set(vm.agentAddress, vm);
      }
      listedAddresses.add(vm.agentAddress);
    }
    return byAddress;
  }

  private applyVm(vm: VmRecord, now: Milliseconds): void {
    const existing = this.byAddress.get(vm.agentAddress);
    if (existing) {
      existing.applyVm(vm, now);
      return;
    }
    const { machine, services } = this.options;
    const channel = this.options.openChannel(vm.agentAddress, now);
    const member = new Member(machine, services, vm.agentAddress, channel, vm);
    this.byAddress.set(vm.agentAddress, member);
    this.byChannel.set(channel, member);
    member.start(now);
    member.applyVm(vm, now);
  }

  private removeMember(member: Member, now: Milliseconds): void {
    member.receive({ type: 'REMOVED' }, now);
    this.byAddress.delete(member.address);
    this.byChannel.delete(member.channel);
    const serverId = member.hello?.backend?.serverId;
    if (serverId !== undefined && this.byServer.get(serverId) === member) {
      this.byServer.delete(serverId);
    }
  }
}

// An agent that announced itself has no VM id until the VM list contains it.
const hasVmId = (vm: VmRecord): boolean => vm.vmId !== '';

const viewServer = (member: Member, backend: Backend): ServerView => ({
  serverId: backend.serverId,
  agentAddress: member.address,
  incarnation: member.hello?.incarnation ?? '',
  service: backend.service,
  kind: backend.kind,
  layerFrom: backend.layerFrom,
  layerTo: backend.layerTo,
  failureDomain: member.hello?.failureDomain ?? '',
  isConnected: member.channel.isOpen,
  isLeaving: member.isLeaving,
  outstanding: member.outstanding,
});
